/// The kinds of named things in a configuration, for code that treats all of them alike.
///
/// Use: `forEachKind([&]<class T>() { for (const T &it : configuration.*Kind<T>::Things) { ... } });`
#pragma once

#include "config/ticket.h"

#include <algorithm>
#include <string_view>

namespace damask {

/// Where the things of type T stand in a configuration and in a ticket, and the word for one of them.
template<class T>
struct Kind;

template<>
struct Kind<DataCentre> {
    static constexpr std::string_view Word = "data-centre";
    static constexpr auto             Things = &Configuration::dataCentres;
    static constexpr auto             Changes = &Ticket::dataCentres;
};

template<>
struct Kind<Link> {
    static constexpr std::string_view Word = "link";
    static constexpr auto             Things = &Configuration::links;
    static constexpr auto             Changes = &Ticket::links;
};

template<>
struct Kind<Pool> {
    static constexpr std::string_view Word = "pool";
    static constexpr auto             Things = &Configuration::pools;
    static constexpr auto             Changes = &Ticket::pools;
};

template<>
struct Kind<Service> {
    static constexpr std::string_view Word = "service";
    static constexpr auto             Things = &Configuration::services;
    static constexpr auto             Changes = &Ticket::services;
};

template<>
struct Kind<Rule> {
    static constexpr std::string_view Word = "rule";
    static constexpr auto             Things = &Configuration::rules;
    static constexpr auto             Changes = &Ticket::rules;
};

template<>
struct Kind<PeerKey> {
    static constexpr std::string_view Word = "key";
    static constexpr auto             Things = &Configuration::keys;
    static constexpr auto             Changes = &Ticket::keys;
};

/// Calls visit.operator()<T>() for each kind, in the order in which files show them.
template<class Visit>
void forEachKind(Visit visit)
{
    visit.template operator()<DataCentre>();
    visit.template operator()<Link>();
    visit.template operator()<Pool>();
    visit.template operator()<Service>();
    visit.template operator()<Rule>();
    visit.template operator()<PeerKey>();
}

/// The name of a thing or of the change of one.
template<class T>
std::string_view nameOf(const T &thing)
{
    if constexpr (requires { thing.next; }) {
        return thing.next.name;
    } else {
        return thing.name;
    }
}

/// The thing (or change) of that name; nullptr when there is none. Things are in the order of names.
template<class Things>
auto findNamed(Things &things, std::string_view name)
{
    const auto it = std::lower_bound(things.begin(), things.end(), name,
                                     [](const auto &thing, std::string_view word) { return nameOf(thing) < word; });
    return it != things.end() && nameOf(*it) == name ? &*it : nullptr;
}

/// Puts things into the order of names.
template<class Things>
void sortByName(Things &things)
{
    std::sort(things.begin(), things.end(), [](const auto &a, const auto &b) { return nameOf(a) < nameOf(b); });
}

} // namespace damask
