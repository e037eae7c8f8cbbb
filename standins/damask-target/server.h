/// Runs many targets in one process: idle connections wait in epoll, a worker pool serves them, and a timer thread
/// completes requests when their service time has elapsed.
///
/// Pitfall: for tests and benches only; it does not authenticate its peers.
#pragma once

#include "base/clock.h"
#include "base/scope.h"
#include "base/thread.h"
#include "base/worker_pool.h"
#include "common/http_text.h"
#include "damask-target/model.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace damask::standin {

struct TargetServerOptions {
    std::string   address = "127.0.0.1"; // IP address
    uint16_t      firstPort = 8001;      // TCP; each target takes the next
    std::string   namePrefix = "t";      // names are PREFIX1, PREFIX2, ...
    int           count = 1;             // targets
    size_t        threads = 2;           // workers
    uint64_t      seed = 1;              // random seed of service times
    TargetOptions target;                // applied to each target
};

/// Makes the nested call that a request asks for; returns the status of its response. Blocks.
using NestedCall = std::function<int(const HttpRequest &request)>;

class TargetServer
{
public:
    TargetServer(Clock &clock, const TargetServerOptions &options, NestedCall nestedCall);
    ~TargetServer();

    Result<void> start(); // SystemError if a port can't be bound
    void         stop();  // completes requests in flight, then closes

    bool        setFaults(std::string_view name, const std::function<void(TargetFaults &)> &change); // "*": all
    void        crash(std::string_view name); // closes its connections; requests in flight get no response
    std::string ledgerText() const;           // one "id times" line for each request id
    std::string statusText() const;           // JSON: load, counts and faults of each target

private:
    struct Hosted;
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    void poll();
    void accept(Hosted &hosted);
    void park(const ConnectionPtr &connection);
    void armParked(const Hosted &hosted); // under the lock
    void close(const ConnectionPtr &connection);
    void serve(const ConnectionPtr &connection);
    void serveNext(const ConnectionPtr &connection);
    void handleRequest(const ConnectionPtr &connection, HttpRequest request);
    void enqueue(const ConnectionPtr &connection, const HttpRequest &request);
    void answer(const ConnectionPtr &connection, const TargetAnswer &content, std::string_view body);
    void write(const ConnectionPtr &connection, std::string_view text);
    void handleDisconnect(Connection &connection); // under the lock
    void completeDue();
    void run(std::vector<DueAnswer> &due);

    Clock                               &m_clock;
    TargetServerOptions                  m_options;
    NestedCall                           m_nestedCall;
    mutable RankedMutex                  m_mutex{LockRank::Route}; // models, connections, stop flag
    Condition                            m_wake;                   // a request started or the server stops
    std::vector<std::unique_ptr<Hosted>> m_hosted;
    std::map<uint64_t, ConnectionPtr>    m_connections;              // by id
    uint64_t                             m_nextConnection = 1000000; // ids below are listeners
    uint64_t                             m_nextCall = 1;
    int                                  m_inFlight = 0;
    bool                                 m_stopping = false;
    FileDescriptor                       m_epoll;
    FileDescriptor                       m_stopEvent;
    std::unique_ptr<WorkerPool>          m_pool;
    std::unique_ptr<WorkerPool>          m_nestedCallPool;
    Thread                               m_poller;
    Thread                               m_timer;
};

} // namespace damask::standin
