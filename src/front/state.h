/// Implementation of FrontServer: connection table, poller and worker tasks. Included by front/*.cpp only.
#pragma once

#include "base/random.h"
#include "base/token_bucket.h"
#include "base/worker_pool.h"
#include "front/caller_connection.h"
#include "front/deadline_timer.h"
#include "front/event_poll.h"
#include "front/exchange.h"
#include "front/server.h"
#include "front/socket.h"

#include <atomic>
#include <unordered_map>
#include <vector>

namespace damask {

struct FrontServer::State {
    State(Clock &clock, Metrics &metrics, const FrontOptions &options, CallHandler handler, CallerProtocol protocol,
          StreamHook streams, RepeatHook repeats);

    // poller.cpp: on the poller's thread, which is the worker currently running poll()
    void poll();
    void pollFrom(std::span<epoll_event> buf);
    void advance(const CallerPtr &it);
    void submit(WorkerPool::Task task); // thread-safe
    void onEvent(const epoll_event &event);
    void onWake();
    void onExpired(uint64_t id);
    void onReadable(const CallerPtr &it);
    void onLingering(const CallerPtr &it);
    void acceptAll();
    void addConnection(AcceptResult accepted);
    void closeIdle();
    void updateIdleEnds();
    void limitReading();

    using Calls = std::vector<WorkerPool::Task>; // started, to be run once their connection has been parked

    // drive.cpp: on the thread that drives the connection
    void          drive(const CallerPtr &it, Calls &started);     // until it is parked or closed
    bool          readFirst(const CallerPtr &it, Calls &started); // with no call in flight; false if it parked
    bool          readAhead(const CallerPtr &it, Calls &started); // behind calls in flight; false if it parked
    bool          flush(const CallerPtr &it); // sends out; false if it had to park or close the connection
    void          linger(const CallerPtr &it);
    void          parkForReading(const CallerPtr &it);
    bool          parkForServing(const CallerPtr &it, bool readable); // false: a response is ready to be sent
    bool          park(const CallerPtr &it, Phase phase, uint32_t events, TimePoint deadline);
    void          close(const CallerPtr &it);
    TimePoint     idleEnd(const CallerConnection &it) const;
    TimePoint     readDeadline(CallerConnection &it, TimePoint began, size_t received) const;
    ArrivalLimits limitsFor(CallerConnection &it) const; // of the request being read
    Transfer      receive(CallerConnection &it, std::span<char> buf) const;
    Result<bool>  advanceReader(CallerConnection &it); // reader.advance() by the limits that apply now
    void          setDeadline(CallerConnection &it, TimePoint deadline);
    void          noteUnread(CallerConnection &it); // ends a time for which it was not read
    void          updateBufferedBytes(CallerConnection &it);

    // slots.cpp: requests in flight on a connection, in order
    bool         startNext(const CallerPtr &it, Calls &started);     // false: it has to wait for those in flight
    PipelineHold addSlot(CallerConnection &it, const SlotPtr &slot); // with a hold, it was not added
    void         recordHold(CallerConnection &it, PipelineHold hold);
    void         finish(const CallerPtr &it, const SlotPtr &slot, EncodedResponse response);
    void         takeResponses(CallerConnection &it);               // moves those that are next in order to out
    bool         isLast(CallerConnection &it, const SlotPtr &slot); // and has to close: nothing is started behind it
    std::vector<SlotPtr> dropSlots(CallerConnection &it); // under the lock of the connection table; the running ones
    void                 cancelCalls(std::span<const SlotPtr> slots);     // without a lock
    PipelineState        pipelineState(const CallerConnection &it) const; // under the lock of the connection table
    PipelineLimits       pipelineLimits(int depth) const;
    PipelineHold         readHold(const CallerConnection &it) const; // why it is not read behind calls in flight
    void holdBytes(CallerConnection &it, CallSlot &slot, size_t n);  // under the lock of the connection table

    // calls.cpp: requests and responses
    void         takeRequest(CallerConnection &it);  // sets next to the complete request
    void         takeStreaming(const CallerPtr &it); // the same, before the body is complete
    NextRequest  prepare(CallerConnection &it, CompleteRequest request);
    bool         mayStream(CallerConnection &it);
    BodyRead     readBody(CallerConnection &it, std::span<char> to);
    void         serve(const CallerPtr &it, const SlotPtr &slot, CallRequest &call);
    CallResponse handleCall(const CallRequest &call, CancelToken &cancel);
    void respondWithError(const CallerPtr &it, const SlotPtr &slot, std::string_view requestId, const Error &error);
    void refuseAndClose(CallerConnection &it, const Error &error);
    void countRefusal(Code code);
    bool mayLog();

    /// The connection of an event and its phase; the poller drives it from then on unless it lingers. Null if there is
    /// nothing to do. Cancels the calls of a connection that its caller has closed.
    CallerPtr take(const epoll_event &event, Phase &phase);

    Clock         &clock;
    Metrics       &metrics;
    FrontOptions   options;
    CallHandler    handler;
    CallerProtocol protocol;
    StreamHook     streams;
    RepeatHook     repeats;
    HttpExchange   exchange;
    Admission      admission;
    RandomSource   random;

    prometheus::Counter &requests;
    prometheus::Counter &wakeUps;
    prometheus::Counter &cancelled;
    prometheus::Counter &pipelined;
    prometheus::Gauge   &openConnections;

    EventPoll              events;
    FileDescriptor         listener; // owned by the poller after start()
    uint16_t               port = 0;
    std::vector<char>      readBuffer; // poller only
    uint64_t               nextId;     // poller only
    std::atomic<size_t>    bufferedBytes{0};
    std::atomic<uint64_t>  wakeUpCount{0};
    std::atomic<uint64_t>  taskCount{0};
    RankedMutex            logMutex{LockRank::Leaf};
    TokenBucket            logBudget; // guarded by logMutex; of log lines for refused requests
    std::atomic<bool>      draining{false};
    std::atomic<TimePoint> lastAnswerAt{Never}; // of this process
    std::atomic<bool>      done{false};
    std::atomic<int64_t>   idleTimeout{0}; // ns; 0: none
    std::atomic<bool>      idleTimeoutChanged{false};

    mutable RankedMutex                     mutex{LockRank::Server};
    Condition                               changed; // a connection or the listener was closed
    std::unordered_map<uint64_t, CallerPtr> connections;
    ArrivalLimits                           limits; // newest
    bool                                    stopping = false;
    bool                                    listening = false;

    std::vector<WorkerPool::Task> startedCalls; // poller only: calls started by the current events
    bool                          running = false;

    DeadlineTimer timer;
    WorkerPool    workers; // last member: its threads use all of the above
};

} // namespace damask
