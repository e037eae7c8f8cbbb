#include "config/diff.h"

#include "config/field.h"
#include "config/kind.h"

#include <set>

namespace damask {

namespace {

void diffTarget(std::vector<std::string> &out, std::string_view pool, const Target *before, const Target *after)
{
    const std::string name = (before != nullptr ? before : after)->name;
    const std::string head = "pool " + std::string(pool) + ": target " + name;
    if (before == nullptr) {
        out.push_back("+ " + head + " = " + writeTarget(*after));
        return;
    }
    if (after == nullptr) {
        out.push_back("- " + head + " = " + writeTarget(*before));
        return;
    }
    if (*before != *after) {
        out.push_back("~ " + head + ": " + writeTarget(*before) + " -> " + writeTarget(*after));
    }
}

template<class Objects>
std::set<std::string> namesInEither(const Objects &before, const Objects &after)
{
    std::set<std::string> names;
    for (const auto &it : before) {
        names.insert(it.name);
    }
    for (const auto &it : after) {
        names.insert(it.name);
    }
    return names;
}

void diffTargets(std::vector<std::string> &out, std::string_view pool, std::span<const Target> before,
                 std::span<const Target> after)
{
    for (const auto &it : namesInEither(before, after)) {
        diffTarget(out, pool, findNamed(before, it), findNamed(after, it));
    }
}

template<class T>
std::string fieldsText(const T &object)
{
    std::string out;
    for (const Field<T> &it : fieldsOf<T>()) {
        out += (out.empty() ? ": " : ", ") + std::string(it.key) + " " + it.write(object);
    }
    return out;
}

template<class T>
void diffFields(std::vector<std::string> &out, const T &before, const T &after)
{
    for (const Field<T> &it : fieldsOf<T>()) {
        const std::string oldText = it.write(before);
        const std::string newText = it.write(after);
        if (oldText != newText) {
            out.push_back("~ " + std::string(Kind<T>::Name) + " " + before.name + ": " + std::string(it.key) + " "
                          + oldText + " -> " + newText);
        }
    }
}

} // namespace

template<class T>
void diffObject(std::vector<std::string> &out, const T *before, const T *after)
{
    if (before == nullptr && after == nullptr) {
        return;
    }
    const T &present = after != nullptr ? *after : *before;
    const std::string head = std::string(Kind<T>::Name) + " " + present.name;
    if (before == nullptr || after == nullptr) {
        out.push_back((before == nullptr ? "+ " : "- ") + head + fieldsText(present));
    } else {
        diffFields(out, *before, *after);
    }
    if constexpr (std::is_same_v<T, Pool>) {
        diffTargets(out, present.name, before != nullptr ? std::span(before->targets) : std::span<const Target>(),
                    after != nullptr ? std::span(after->targets) : std::span<const Target>());
    }
}

template void diffObject(std::vector<std::string> &out, const Service *before, const Service *after);
template void diffObject(std::vector<std::string> &out, const Pool *before, const Pool *after);
template void diffObject(std::vector<std::string> &out, const Rule *before, const Rule *after);
template void diffObject(std::vector<std::string> &out, const DataCentre *before, const DataCentre *after);
template void diffObject(std::vector<std::string> &out, const Link *before, const Link *after);
template void diffObject(std::vector<std::string> &out, const PeerKey *before, const PeerKey *after);

std::vector<std::string> diff(const Configuration &before, const Configuration &after)
{
    std::vector<std::string> out;
    forEachKind([&]<class T>() {
        const auto &oldObjects = before.*Kind<T>::Objects;
        const auto &newObjects = after.*Kind<T>::Objects;
        for (const auto &it : namesInEither(oldObjects, newObjects)) {
            diffObject<T>(out, findNamed(oldObjects, it), findNamed(newObjects, it));
        }
    });
    return out;
}

} // namespace damask
