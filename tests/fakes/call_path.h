/// The path of a call through a node that runs in the test: front, dispatcher and sender to the targets of a
/// configuration.
#pragma once

#include "back/sender.h"
#include "front/server.h"
#include "platform/platform.h"
#include "route/balancer.h"
#include "route/dispatcher.h"

#include <criterion/criterion.h>
#include <memory>

namespace damask {

struct CallPath {
    explicit CallPath(const Configuration &configuration, const FrontOptions &options = {})
        : balancer(clock, metrics, {.dataCentre = "z"})
        , sender(clock, metrics, {}, platform::targetForm())
        , dispatcher(clock, metrics, balancer, {},
                     {.send =
                          [this](const Attempt &it) {
                              return sender.send(it);
                          }})
        , front(
              clock, metrics, options,
              [this](const CallRequest &call, CancelToken &cancel) { return dispatcher.dispatch(call, cancel); },
              platform::callerForm(), [this](const CallRequest &call) { return dispatcher.streamsBody(call); },
              [](const CallRequest &call) { return call.method == "GET"; })
    {
        const auto inForce = std::make_shared<Configuration>(configuration);
        balancer.apply(inForce);
        dispatcher.apply(inForce);
        cr_assert(front.start().has_value());
    }

    Clock       clock;
    Metrics     metrics;
    Balancer    balancer;
    Sender      sender;
    Dispatcher  dispatcher;
    FrontServer front;
};

} // namespace damask
