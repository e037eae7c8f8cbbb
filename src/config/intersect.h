/// The state between two configurations, for the time in which instances change from one to the other.
#pragma once

#include "config/model.h"

namespace damask {

/// The configuration that uses only what both states allow. Its revision is that of `before`.
///
/// - A target takes work when it is in both states, at the same address and data centre, and draining in neither.
/// - Each limit is the stricter of the two.
/// - A request goes only where both states' rules send it; where they name different services, to the targets that
///   both have, under a merged service named "a+b"; where there are none, it is refused.
/// - A data centre or link in either state is known (they describe, they don't allow), with the longer delay.
/// - A key is known when both states know it, and retired when either retires it.
///
/// Acting on it is therefore allowed under `before` and under `after`.
Configuration intersectConfigurations(const Configuration &before, const Configuration &after);

} // namespace damask
