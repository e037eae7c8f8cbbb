#include "config/apply.h"

#include "config/diff.h"
#include "config/kind.h"
#include "config/validate.h"

namespace damask {

namespace {

void appendLine(std::string &out, std::string_view line)
{
    out += out.empty() ? "" : "\n";
    out += line;
}

template<class T>
std::string sourceLocation(const Ticket &ticket, const Change<T> &change)
{
    return ticket.source + ":" + std::to_string(change.line) + ": " + std::string(Kind<T>::Name) + " "
           + change.next.name;
}

/// Describes why a change is stale, with a diff from the current state to what the ticket asks for.
template<class T>
void explainStale(std::string &out, const Ticket &ticket, const Change<T> &change, const T *current)
{
    const std::string now = current == nullptr ? "does not exist" : "is at version " + std::to_string(current->version);
    const std::string basis =
        change.basedOn == 0 ? "adds it as new" : "is based on version " + std::to_string(change.basedOn);
    appendLine(out, sourceLocation(ticket, change) + ": the ticket " + basis + ", but the object " + now
                        + "; review the difference and submit it again under a new number");
    std::vector<std::string> lines;
    diffObject<T>(lines, current, change.remove ? nullptr : &change.next);
    for (const auto &it : lines) {
        appendLine(out, "  " + it);
    }
}

template<class T>
void applyChange(std::vector<T> &objects, const Change<T> &change, uint64_t revision)
{
    std::erase_if(objects, [&](const T &it) { return it.name == change.next.name; });
    if (change.remove) {
        return;
    }
    objects.push_back(change.next);
    objects.back().version = change.basedOn == 0 ? revision : change.basedOn + 1;
}

std::string describeProblems(const Ticket &ticket, std::span<const Problem> problems)
{
    std::string out;
    for (const Problem &it : problems) {
        int line = 0;
        forEachKind([&]<class T>() {
            const auto *change = it.kind == Kind<T>::Name ? findNamed(ticket.*Kind<T>::Changes, it.name) : nullptr;
            line = change != nullptr ? change->line : line;
        });
        const std::string where = line > 0 ? ":" + std::to_string(line) : "";
        appendLine(out, ticket.source + where + ": " + std::string(it.kind) + " " + it.name + ": " + it.what);
    }
    return out;
}

} // namespace

Result<Configuration> applyTicket(const Configuration &configuration, const Ticket &ticket)
{
    Configuration next = configuration;
    next.revision = configuration.revision + 1;
    std::string stale;
    forEachKind([&]<class T>() {
        auto &objects = next.*Kind<T>::Objects;
        for (const Change<T> &it : ticket.*Kind<T>::Changes) {
            const T *current = findNamed(configuration.*Kind<T>::Objects, it.next.name);
            if (it.basedOn != (current == nullptr ? 0 : current->version)) {
                explainStale(stale, ticket, it, current);
            }
            applyChange(objects, it, next.revision);
        }
        sortByName(objects);
    });
    if (!stale.empty()) {
        return fail(Code::StaleTicket, stale);
    }
    const std::vector<Problem> problems = findProblems(next);
    if (!problems.empty()) {
        return fail(Code::BadTicket, describeProblems(ticket, problems));
    }
    return next;
}

bool ticketsOverlap(const Ticket &first, const Ticket &second)
{
    bool common = false;
    forEachKind([&]<class T>() {
        for (const Change<T> &it : first.*Kind<T>::Changes) {
            const auto same = [&](const Change<T> &other) {
                return other.next.name == it.next.name;
            };
            const auto &others = second.*Kind<T>::Changes;
            common = common || std::any_of(others.begin(), others.end(), same);
        }
    });
    return common;
}

std::vector<std::string> unchangedObjects(const Configuration &configuration, const Ticket &ticket)
{
    std::vector<std::string> out;
    forEachKind([&]<class T>() {
        for (const Change<T> &it : ticket.*Kind<T>::Changes) {
            const T *current = findNamed(configuration.*Kind<T>::Objects, it.next.name);
            T stated = it.next;
            stated.version = current == nullptr ? 0 : current->version;
            if (current != nullptr && !it.remove && stated == *current) {
                out.push_back(std::string(Kind<T>::Name) + " " + it.next.name);
            }
        }
    });
    return out;
}

Ticket inverseTicket(const Configuration &before, const Configuration &after)
{
    Ticket ticket;
    forEachKind([&]<class T>() {
        auto &changes = ticket.*Kind<T>::Changes;
        for (const T &it : before.*Kind<T>::Objects) {
            const T *changed = findNamed(after.*Kind<T>::Objects, it.name);
            if (changed == nullptr || changed->version != it.version) {
                changes.push_back({.next = it, .basedOn = changed == nullptr ? 0 : changed->version});
            }
        }
        for (const T &it : after.*Kind<T>::Objects) {
            if (findNamed(before.*Kind<T>::Objects, it.name) == nullptr) {
                changes.push_back({.next = it, .basedOn = it.version, .remove = true});
            }
        }
        sortByName(changes);
    });
    return ticket;
}

Ticket rebased(const Ticket &ticket, const Configuration &now, std::vector<std::string> &changedSince)
{
    Ticket out = ticket;
    forEachKind([&]<class T>() {
        auto &changes = out.*Kind<T>::Changes;
        for (Change<T> &it : changes) {
            const T *current = findNamed(now.*Kind<T>::Objects, it.next.name);
            const uint64_t version = current == nullptr ? 0 : current->version;
            if (version != it.basedOn) {
                changedSince.push_back(std::string(Kind<T>::Name) + " " + it.next.name);
            }
            it.basedOn = version;
        }
        std::erase_if(changes, [](const Change<T> &it) { return it.remove && it.basedOn == 0; });
    });
    return out;
}

} // namespace damask
