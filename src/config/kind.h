/// The kinds of objects in a configuration, for code that treats all kinds alike.
///
/// Use: `forEachKind([&]<class T>() { for (const T &it : configuration.*Kind<T>::Objects) { ... } });`
#pragma once

#include "config/ticket.h"

#include <algorithm>
#include <string_view>

namespace damask {

/// Where a configuration and a ticket store objects of type T, and the name of the kind in tickets and messages.
template<class T>
struct Kind;

template<>
struct Kind<DataCentre> {
    static constexpr std::string_view Name = "data-centre";
    static constexpr auto             Objects = &Configuration::dataCentres;
    static constexpr auto             Changes = &Ticket::dataCentres;
};

template<>
struct Kind<Link> {
    static constexpr std::string_view Name = "link";
    static constexpr auto             Objects = &Configuration::links;
    static constexpr auto             Changes = &Ticket::links;
};

template<>
struct Kind<Pool> {
    static constexpr std::string_view Name = "pool";
    static constexpr auto             Objects = &Configuration::pools;
    static constexpr auto             Changes = &Ticket::pools;
};

template<>
struct Kind<Service> {
    static constexpr std::string_view Name = "service";
    static constexpr auto             Objects = &Configuration::services;
    static constexpr auto             Changes = &Ticket::services;
};

template<>
struct Kind<Rule> {
    static constexpr std::string_view Name = "rule";
    static constexpr auto             Objects = &Configuration::rules;
    static constexpr auto             Changes = &Ticket::rules;
};

template<>
struct Kind<PeerKey> {
    static constexpr std::string_view Name = "key";
    static constexpr auto             Objects = &Configuration::keys;
    static constexpr auto             Changes = &Ticket::keys;
};

/// Calls visit.operator()<T>() for each kind, in the order in which tickets are written.
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

/// The name of an object, or of the object that a change is for.
template<class T>
std::string_view nameOf(const T &object)
{
    if constexpr (requires { object.next; }) {
        return object.next.name;
    } else {
        return object.name;
    }
}

/// The object (or change) with that name; nullptr when there is none. `objects` must be sorted by name.
template<class Objects>
auto findNamed(Objects &objects, std::string_view name)
{
    const auto it = std::lower_bound(objects.begin(), objects.end(), name,
                                     [](const auto &object, std::string_view word) { return nameOf(object) < word; });
    return it != objects.end() && nameOf(*it) == name ? &*it : nullptr;
}

/// Sorts by name, as findNamed() requires.
template<class Objects>
void sortByName(Objects &objects)
{
    std::sort(objects.begin(), objects.end(), [](const auto &a, const auto &b) { return nameOf(a) < nameOf(b); });
}

} // namespace damask
