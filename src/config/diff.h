/// Human-readable differences between two configurations.
#pragma once

#include "config/model.h"

#include <string>
#include <vector>

namespace damask {

/// One line for each difference: "+ pool p", "- rule r", "~ service s: deadline 2 s -> 1 s". Empty: none.
std::vector<std::string> diff(const Configuration &before, const Configuration &after);

/// The same for one named object; nullptr: it does not exist.
template<class T>
void diffObject(std::vector<std::string> &out, const T *before, const T *after);

} // namespace damask
