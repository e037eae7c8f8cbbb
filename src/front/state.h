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
          StreamHook streams);

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
    void limitReading();

    // drive.cpp: on the thread that owns the connection
    WorkerPool::Task drive(const CallerPtr &it); // the next call to serve, or null
    bool             flush(const CallerPtr &it); // sends out; false if it had to park or close the connection
    void             linger(const CallerPtr &it);
    void             parkForReading(const CallerPtr &it);
    bool             park(const CallerPtr &it, Phase phase, uint32_t events, TimePoint deadline);
    void             close(const CallerPtr &it);
    TimePoint        idleEnd(const CallerConnection &it) const;
    TimePoint        readDeadline(TimePoint began, size_t received) const;
    void             setDeadline(CallerConnection &it, TimePoint deadline);
    void             updateBufferedBytes(CallerConnection &it);

    // calls.cpp: requests and responses
    WorkerPool::Task startCall(const CallerPtr &it);      // null: refused, and the refusal is ready to send
    WorkerPool::Task startStreaming(const CallerPtr &it); // the same, before the body is complete
    WorkerPool::Task startCall(const CallerPtr &it, CompleteRequest request, std::shared_ptr<BodyStream> stream);
    bool             mayStream(CallerConnection &it);
    BodyRead         readBody(CallerConnection &it, std::span<char> to);
    void             serve(const CallerPtr &it, CallRequest &call, CancelToken &cancel);
    CallResponse     handleCall(const CallRequest &call, CancelToken &cancel);
    void             respondWithError(CallerConnection &it, std::string_view requestId, const Error &error);
    void             refuseAndClose(CallerConnection &it, const Error &error);
    void             countRefusal(Code code);
    bool             mayLog();

    CallerPtr find(uint64_t id, Phase &phase); // also cancels the call of a connection in phase Serving

    Clock         &clock;
    Metrics       &metrics;
    FrontOptions   options;
    CallHandler    handler;
    CallerProtocol protocol;
    StreamHook     streams;
    HttpExchange   exchange;
    Admission      admission;
    RandomSource   random;

    prometheus::Counter &requests;
    prometheus::Counter &wakeUps;
    prometheus::Counter &cancelled;
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
    std::atomic<int64_t>   requestTimeout; // ns

    mutable RankedMutex                     mutex{LockRank::Server};
    Condition                               changed; // a connection or the listener was closed
    std::unordered_map<uint64_t, CallerPtr> connections;
    RequestLimits                           limits; // of new connections
    bool                                    stopping = false;
    bool                                    listening = false;

    std::vector<WorkerPool::Task> startedCalls; // poller only: calls started by the current events
    bool                          running = false;

    DeadlineTimer timer;
    WorkerPool    workers; // last member: its threads use all of the above
};

} // namespace damask
