/// One request and its answer as HTTP, by the library: request line in, status line and fields out.
#pragma once

#include "call/message.h"
#include "front/caller_form.h"
#include "front/head.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace damask {

/// An answer as it goes over the connection.
struct EncodedAnswer {
    std::string bytes;
    bool        close = false; // the connection must not be used again
};

/// Gives the answer once the library has read method and path (as received, with query).
using AnswerHook = std::function<CallResponse(std::string_view method, std::string_view path)>;

/// Safe from all threads.
class HttpExchange
{
public:
    /// `leaving` is asked after each answer: must its connection close?
    explicit HttpExchange(std::function<bool()> leaving, CallerForm form = ownCallerForm());
    ~HttpExchange();

    /// The hook is called at most once; not at all when the request line is malformed (answered with BadRequest).
    EncodedAnswer run(const RequestHead &head, std::string_view requestId, const AnswerHook &hook);

    /// The bytes of an answer to a request that could not be read; its connection is to be closed.
    std::string refuse(const CallResponse &answer);

private:
    class Library;

    EncodedAnswer runWith(const RequestHead &head, std::string_view requestId, const AnswerHook &hook,
                          const std::function<bool()> &mustClose);

    std::function<bool()>    m_leaving;
    CallerForm               m_form;
    std::unique_ptr<Library> m_library;
};

} // namespace damask
