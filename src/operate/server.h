/// The operators' HTTP port of a program: /healthz, /ready, /metrics, /status and what the program adds.
///
/// Use: `OperateServer server(options); server.route("GET", "/status", handler); server.start();`
/// Few callers use it, so it closes each connection after its answer and keeps no idle ones.
#pragma once

#include "base/result.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace damask {

/// What an operator asked for.
struct OperateRequest {
    std::string                        method;
    std::string                        path;
    std::map<std::string, std::string> query;
    std::string                        body;
};

/// What the operator gets.
struct OperateResponse {
    int         status = 200;
    std::string type = "application/json";
    std::string body;
};

/// Answers one request; called on a thread of the server.
using OperateHandler = std::function<OperateResponse(const OperateRequest &)>;

/// Options of an OperateServer.
struct OperateOptions {
    std::string address = "127.0.0.1";      // IP number to listen on
    uint16_t    port = 0;                   // TCP; 0: any free one
    std::string token = {};                 // asked for as "Authorization: Bearer TOKEN"; empty: none is asked for
    size_t      threads = 2;                // requests served at once
    size_t      maxBodyBytes = 1024 * 1024; // of a request

    std::function<void(Code)> refused = {}; // hears each refusal, to count it; may be empty
};

/// An answer that names a failure: {"code": 705, "name": "TokenRefused", "detail": "..."}.
OperateResponse operateError(int status, const Error &error);

class OperateServer
{
public:
    explicit OperateServer(const OperateOptions &options);
    ~OperateServer(); // stops

    /// Before start(). Open paths need no token (health, readiness, metrics). A path that ends in "/*" takes all below
    /// it that has no route of its own.
    void         route(std::string_view method, std::string_view path, OperateHandler handler, bool open = false);
    Result<void> start();      // SystemError when the port can't be had
    void         stop();       // finishes what is in flight
    uint16_t     port() const; // the one listened on, after start()

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
