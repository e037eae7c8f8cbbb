/// Asking several targets at once how they are, on the connections that calls use.
///
/// A target that answers has proved its connection alive, so a call that follows at once finds it fresh.
/// Pitfall: blocks the calling thread until all have answered or patience is over.
#pragma once

#include "back/connection_table.h"
#include "back/target_form.h"
#include "base/clock.h"

#include <memory>
#include <span>
#include <vector>

namespace damask {

/// What came of asking one target, in the order in which they were given.
struct Told {
    Result<LoadReport> report;            // AnswerTimeout, ConnectionLost, ConnectFailed, BadAnswer, TargetShares
    Duration           took{0};           // until the answer
    bool               connected = false; // a new connection was made for it
};

std::vector<Told> askAll(const Clock &clock, ConnectionTable &table, const TargetForm &form,
                         std::span<const std::shared_ptr<const TargetAddress>> targets, Duration patience);

} // namespace damask
