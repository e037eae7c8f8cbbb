/// The front's inside: the table of connections, the poller and what workers do. Included by front/*.cpp only.
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
    State(Clock &clock, Metrics &metrics, const FrontOptions &options, CallHandler handler, CallerProtocol protocol);

    // poller.cpp: on the poller's thread, which is the worker that runs poll() at the moment
    void poll();
    void pollFrom(std::span<epoll_event> buf);
    void advance(const CallerPtr &it);
    void submit(WorkerPool::Task task); // from any thread
    void onEvent(const epoll_event &event);
    void onWake();
    void onExpired(uint64_t id);
    void onReadable(const CallerPtr &it);
    void onLingering(const CallerPtr &it);
    void acceptAll();
    void addConnection(AcceptResult accepted);
    void closeIdle();

    // drive.cpp: on the thread whose the connection is
    WorkerPool::Task drive(const CallerPtr &it); // the call to serve next, or none
    bool             flush(const CallerPtr &it);
    void             linger(const CallerPtr &it);
    void             parkForReading(const CallerPtr &it);
    bool             park(const CallerPtr &it, Phase phase, uint32_t events);
    void             close(const CallerPtr &it);
    TimePoint        idleEnd(const CallerConnection &it) const;
    TimePoint        readDeadline(const CallerConnection &it) const;
    void             setDeadline(CallerConnection &it, TimePoint deadline);
    void             updateBufferedBytes(CallerConnection &it);

    // calls.cpp: requests and answers
    WorkerPool::Task startCall(const CallerPtr &it); // none: it was answered at once
    void             serve(const CallerPtr &it, CallRequest &call, CancelToken &cancel);
    CallResponse     handleCall(const CallRequest &call, CancelToken &cancel);
    void             respondWithError(CallerConnection &it, std::string_view requestId, const Error &error);
    void             refuseAndClose(CallerConnection &it, const Error &error);
    void             countRefusal(Code code);
    bool             mayLog();

    CallerPtr find(uint64_t id, Phase &phase);

    Clock         &clock;
    Metrics       &metrics;
    FrontOptions   options;
    CallHandler    handler;
    CallerProtocol protocol;
    HttpExchange   exchange;
    Admission      admission;
    RandomSource   random;

    prometheus::Counter &requests;
    prometheus::Counter &wakeUps;
    prometheus::Counter &cancelled;
    prometheus::Gauge   &openConnections;

    EventPoll             events;
    FileDescriptor        listener; // the poller's, after start()
    uint16_t              port = 0;
    std::vector<char>     readBuffer; // the poller's
    uint64_t              nextId;     // the poller's
    std::atomic<size_t>   bufferedBytes{0};
    std::atomic<uint64_t> wakeUpCount{0};
    std::atomic<uint64_t> taskCount{0};
    RankedMutex           logMutex{LockRank::Leaf};
    TokenBucket           logBudget; // under logMutex: lines on refused requests
    std::atomic<bool>     draining{false};
    std::atomic<bool>     done{false};
    std::atomic<int64_t>  idleTimeout{0}; // ns, 0: none
    std::atomic<int64_t>  requestTimeout; // ns, for a caller to send a request

    mutable RankedMutex                     mutex{LockRank::Server};
    Condition                               changed; // a connection closed, or the listener
    std::unordered_map<uint64_t, CallerPtr> connections;
    RequestLimits                           limits; // of connections from now on
    bool                                    stopping = false;
    bool                                    listening = false;

    std::vector<WorkerPool::Task> startedCalls; // the poller's: calls that the events at hand began
    bool                          running = false;

    DeadlineTimer timer;
    WorkerPool    workers; // last: it uses all of the above
};

} // namespace damask
