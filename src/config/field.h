/// The text form of object fields: one table for reading, writing and comparing.
#pragma once

#include "config/model.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace damask {

/// One `key = value` line of an object of type T.
template<class T>
struct Field {
    std::string_view                           key;              // lower case with hyphens
    std::string                                allowed;          // for error messages: "1 to 1024"
    bool                                       required = false; // has no default
    std::function<bool(T &, std::string_view)> read;             // false: the value is not allowed
    std::function<std::string(const T &)>      write;            // text that read() accepts
};

/// The field table of an object kind. A pool's targets have lines of their own, see readTarget().
template<class T>
std::span<const Field<T>> fieldsOf();

template<>
std::span<const Field<Service>> fieldsOf<Service>();
template<>
std::span<const Field<Pool>> fieldsOf<Pool>();
template<>
std::span<const Field<Rule>> fieldsOf<Rule>();
template<>
std::span<const Field<DataCentre>> fieldsOf<DataCentre>();
template<>
std::span<const Field<Link>> fieldsOf<Link>();
template<>
std::span<const Field<PeerKey>> fieldsOf<PeerKey>();

constexpr std::string_view TargetPrefix = "target-"; // key prefix of a target line; the target's name follows

/// Reads "127.0.0.1:8001 data-centre=zh1 slots=6 draining=no" into `target`. Returns what is wrong; empty: nothing.
std::string readTarget(Target &target, std::string_view value);

/// Writes text that readTarget() accepts.
std::string writeTarget(const Target &target);

/// Letters, digits, '.', '_' and '-', the first a letter or digit, at most MaxObjectNameBytes long.
bool validName(std::string_view name);

constexpr size_t MaxObjectNameBytes = 40;

} // namespace damask
