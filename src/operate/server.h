/// HTTP server on the operators' port of a program: /healthz, /ready, /metrics, /status and routes of the program.
///
/// Use: `OperateServer server(options); server.route("GET", "/status", handler); server.start();`
/// It has few users, so it closes each connection after the response and keeps no idle ones.
#pragma once

#include "base/result.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace damask {

/// Request of an operator.
struct OperateRequest {
    std::string                        method;
    std::string                        path;
    std::map<std::string, std::string> query;
    std::string                        body;
};

/// Response to the operator.
struct OperateResponse {
    int         status = 200;
    std::string type = "application/json";
    std::string body;
};

/// Handles one request; called on a thread of the server.
using OperateHandler = std::function<OperateResponse(const OperateRequest &)>;

/// Options of an OperateServer.
struct OperateOptions {
    std::string address = "127.0.0.1";      // IP address to listen on
    uint16_t    port = 0;                   // TCP; 0: any free one
    std::string token = {};                 // required as "Authorization: Bearer TOKEN"; empty: not required
    size_t      threads = 2;                // maximum number of concurrent requests
    size_t      maxBodyBytes = 1024 * 1024; // of a request

    std::function<void(Code)> refused = {}; // called for each refused request, to count it; may be empty
};

/// An error response: {"code": 705, "name": "TokenRefused", "detail": "..."}.
OperateResponse operateError(int status, const Error &error);

class OperateServer
{
public:
    explicit OperateServer(const OperateOptions &options);
    ~OperateServer(); // stops

    /// Adds a route; call before start(). Open paths require no token (health, readiness, metrics). A path that ends in
    /// "/*" matches all paths below it that have no route of their own.
    void         route(std::string_view method, std::string_view path, OperateHandler handler, bool open = false);
    Result<void> start();      // SystemError if it can't listen on the port
    void         stop();       // finishes the requests in flight
    uint16_t     port() const; // actual port, after start()

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
