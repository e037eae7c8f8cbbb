/// The intersection of two configurations, which instances use while they change from one to the other.
#pragma once

#include "config/model.h"

namespace damask {

/// The configuration that uses only what both configurations allow. Its revision is that of `before`.
///
/// - A target accepts requests when in both, with the same address, port and data centre, and draining in neither.
/// - Each limit is the stricter of the two.
/// - A request goes only where the rules of both send it. Where they name different services, it goes to the targets
///   that both services have, under a merged service named "a+b"; where there are none, it is refused.
/// - A data centre or link in either is known, because these describe the topology and allow nothing. A link has the
///   longer delay of the two.
/// - A key is known when both know it, and retired when either retires it.
///
/// An instance that follows it therefore complies with both `before` and `after`.
Configuration intersectConfigurations(const Configuration &before, const Configuration &after);

} // namespace damask
