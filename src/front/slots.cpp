#include "front/state.h"

#include <algorithm>
#include <utility>

namespace damask {

bool FrontServer::State::startNext(const CallerPtr &it, Calls &started)
{
    const auto slot = std::make_shared<CallSlot>();
    slot->head = it->next->head;
    slot->repeatable = it->next->repeatable;
    const size_t ahead = it->slots.size();
    if (const PipelineHold hold = addSlot(*it, slot); hold != PipelineHold::None) {
        recordHold(*it, hold);
        return false;
    }
    NextRequest own = std::move(*it->next);
    it->next.reset();
    setDeadline(*it, Never);
    requests.Increment();
    ++it->requests;
    if (ahead > 0) {
        pipelined.Increment();
    }
    const TimePoint since = std::exchange(it->heldSince, Never);
    own.call.pipeline = {.ahead = ahead,
                         .heldBy = holdName(std::exchange(it->heldBy, PipelineHold::None)),
                         .heldFor = since == Never ? Duration::zero() : clock.now() - since};
    if (!own.valid) {
        slot->head.close = slot->head.close || own.call.stream;
        respondWithError(it, slot, own.call.requestId, own.valid.error());
        return true;
    }
    started.emplace_back([this, it, slot, call = std::move(own.call)]() mutable { serve(it, slot, call); });
    return true;
}

/// Decides and records the start under one lock, so that isLast() never allows a response to close the connection
/// behind which a request has been started.
PipelineHold FrontServer::State::addSlot(CallerConnection &it, const SlotPtr &slot)
{
    NextRequest &next = *it.next;
    LockGuard lock(mutex);
    const PipelineHold hold = holdFor(pipelineLimits(next.call.depth), pipelineState(it), next.repeatable);
    if (hold != PipelineHold::None) {
        return hold;
    }
    if (next.valid && !admission.tryAcquire(next.call.depth)) {
        if (!it.slots.empty()) {
            return PipelineHold::Workers;
        }
        next.valid = fail(Code::EntryBusy, "all workers available to calls of this depth are in use");
    }
    it.closing = next.closes;
    it.slots.push_back(slot);
    const size_t bytes = std::exchange(next.bodyBytes, 0); // moves to the slot; the total stays
    it.bufferedBytes -= bytes;
    slot->bytes = bytes;
    it.slotBytes += bytes;
    return PipelineHold::None;
}

/// Counts each request once that has to wait.
void FrontServer::State::recordHold(CallerConnection &it, PipelineHold hold)
{
    if (options.pipelineLimit > 1 && hold != PipelineHold::None && it.heldSince == Never) {
        it.heldSince = clock.now();
        it.heldBy = hold;
        metrics.count("damask_front_pipeline_holds_total", {{"reason", holdName(hold)}});
    }
}

/// Called once for each slot, on any thread. Its thread drives the connection if the response is the next to be sent
/// and nobody else drives; otherwise whoever drives it finds the response.
void FrontServer::State::finish(const CallerPtr &it, const SlotPtr &slot, EncodedResponse response)
{
    {
        LockGuard lock(mutex);
        if (slot->dropped) {
            holdBytes(*it, *slot, 0);
            return;
        }
        holdBytes(*it, *slot, response.bytes.size());
        it->closing = it->closing || response.close;
        slot->response = std::move(response);
        slot->done = true;
        if (it->phase != Phase::Serving || it->slots.front() != slot) {
            return;
        }
        it->phase = Phase::Driven;
    }
    Calls started;
    drive(it, started);
    for (WorkerPool::Task &call : started) {
        submit(std::move(call));
    }
}

/// The stop may have begun after a response was encoded, while it waited for those before it. The last one that was
/// started then says that the connection closes; its decision and the start of a further request share the lock.
void FrontServer::State::takeResponses(CallerConnection &it)
{
    LockGuard lock(mutex);
    while (!it.close && !it.slots.empty() && it.slots.front()->done) {
        CallSlot &slot = *it.slots.front();
        if (draining && it.slots.size() == 1 && !slot.response.close) {
            it.closing = true;
            const size_t before = slot.response.bytes.size();
            closeAfter(slot.response);
            holdBytes(it, slot, slot.bytes + slot.response.bytes.size() - before);
        }
        if (it.out.empty()) {
            it.out = std::move(slot.response.bytes);
        } else {
            it.out += slot.response.bytes;
        }
        it.close = slot.response.close;
        it.bufferedBytes += slot.bytes; // as part of out; the total stays
        it.slotBytes -= slot.bytes;
        it.slots.pop_front();
    }
    it.close = it.close || (it.hungUp && it.slots.empty());
}

bool FrontServer::State::isLast(CallerConnection &it, const SlotPtr &slot)
{
    LockGuard lock(mutex);
    const bool last = !it.slots.empty() && it.slots.back() == slot;
    it.closing = it.closing || last;
    return last;
}

std::vector<SlotPtr> FrontServer::State::dropSlots(CallerConnection &it)
{
    std::vector<SlotPtr> unanswered;
    for (const SlotPtr &slot : it.slots) {
        slot->dropped = true;
        if (slot->done) {
            holdBytes(it, *slot, 0);
        } else if (!std::exchange(slot->cancelling, true)) {
            unanswered.push_back(slot);
        }
    }
    it.slots.clear();
    return unanswered;
}

void FrontServer::State::cancelCalls(std::span<const SlotPtr> slots)
{
    for (const SlotPtr &slot : slots) {
        cancelled.Increment();
        slot->cancel->cancel();
    }
}

PipelineState FrontServer::State::pipelineState(const CallerConnection &it) const
{
    return {.inFlight = it.slots.size(),
            .repeatable =
                std::all_of(it.slots.begin(), it.slots.end(), [](const SlotPtr &slot) { return slot->repeatable; }),
            .closing = it.closing || it.hungUp || draining,
            .connectionBytes = it.bufferedBytes + it.slotBytes,
            .frontBytes = bufferedBytes,
            .busyWorkers = admission.busy()};
}

PipelineLimits FrontServer::State::pipelineLimits(int depth) const
{
    return {.requests = options.pipelineLimit,
            .connectionBytes = options.pipelineBytes,
            .frontBytes = options.maxBufferedBytes,
            .workers = admission.limit(depth)};
}

PipelineHold FrontServer::State::readHold(const CallerConnection &it) const
{
    LockGuard lock(mutex);
    return holdFor(pipelineLimits(0), pipelineState(it), true);
}

void FrontServer::State::holdBytes(CallerConnection &it, CallSlot &slot, size_t n)
{
    bufferedBytes += n - slot.bytes; // unsigned wrap-around subtracts when the amount shrank
    it.slotBytes += n - slot.bytes;
    slot.bytes = n;
}

} // namespace damask
