/// The answer to a question of where a request would go, as JSON for damaskctl.
#pragma once

#include "operate/server.h"
#include "route/dispatcher.h"

#include <string>

namespace damask {

/// The page /where on the operators' port; the query has host, path, and optionally method and account.
OperateResponse answerWhere(const Dispatcher &dispatcher, const OperateRequest &request);

std::string toJson(const RoutePreview &preview);

} // namespace damask
