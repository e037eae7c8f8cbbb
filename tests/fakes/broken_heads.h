/// Responses that are broken in their heads, each of which looks whole to a lenient reader.
///
/// Use: for (const BrokenResponse &it : brokenResponses("X-Instance-Id: i-1\r\n", "body")) { ... }
#pragma once

#include "fakes/fake_target.h"

#include <cstdio>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace damask {

struct BrokenResponse {
    std::string what; // for the message of a failed assertion
    FakeReply   reply;
};

inline constexpr std::string_view InterimResponse = "HTTP/1.1 100 Continue\r\n\r\n";

inline std::string printable(std::string_view bytes)
{
    std::string out;
    for (const char c : bytes) {
        out += c >= ' ' && c < 0x7f ? std::string(1, c) : "<" + std::to_string(static_cast<unsigned char>(c)) + ">";
    }
    return out;
}

/// The fields, the blank line and the body of a response, once with a length, once in a chunk, once until the close.
inline std::vector<std::string> framedResponses(std::string_view fieldsBefore, std::string_view fieldsAfter,
                                                std::string_view body)
{
    const std::string                         length = std::to_string(body.size());
    std::array<char, 20>                      hex{};
    const int                                 n = std::snprintf(hex.data(), hex.size(), "%zx", body.size());
    const std::string                         size(hex.data(), static_cast<size_t>(n));
    const std::string                         chunks = size + "\r\n" + std::string(body) + "\r\n0\r\n\r\n";
    const std::pair<std::string, std::string> framings[] = {
        {"Content-Length: " + length + "\r\n", std::string(body)},
        {"Transfer-Encoding: chunked\r\n", chunks},
        {"", std::string(body)},
    };
    std::vector<std::string> out;
    for (const auto &[field, bytes] : framings) {
        out.push_back(std::string(fieldsBefore) + field + std::string(fieldsAfter) + "\r\n" + bytes);
    }
    return out;
}

/// Heads whose status is no final status of HTTP.
inline std::vector<std::string> brokenStatuses(std::string_view fields, std::string_view body)
{
    std::vector<std::string> out;
    for (const std::string_view status :
         {"000", "001", "099", "199", "600", "999", "-20", "+20", " 20", "20", "2000", "20x", "2 0", "0x0", "", "OK"}) {
        for (const std::string &rest : framedResponses(fields, {}, body)) {
            out.push_back("HTTP/1.1 " + std::string(status) + " OK\r\n" + rest);
        }
    }
    return out;
}

/// Heads in which the name of the first, a middle or the last field holds a blank or a control byte.
inline std::vector<std::string> brokenFieldNames(std::string_view fields, std::string_view body)
{
    std::vector<std::string> names{"X-Odd ", " X-Odd", "\tX-Odd", "", "X-Odd\n", "X-Odd\r", "X\r-Odd", "X\n-Odd"};
    for (int n = 0; n <= ' '; ++n) {
        if (n != '\r' && n != '\n') {
            names.push_back("X-" + std::string(1, static_cast<char>(n)) + "Odd");
        }
    }
    names.insert(names.end(), {"X-\x7fOdd", "X-\x80Odd", "X-\xffOdd"});
    std::vector<std::string> out;
    for (const std::string &name : names) {
        const std::string                         line = name + ": 1\r\n";
        const std::pair<std::string, std::string> places[] = {
            {line + std::string(fields), ""}, {std::string(fields) + line, ""}, {std::string(fields), line}};
        for (const auto &[before, after] : places) {
            for (const std::string &rest : framedResponses(before, after, body)) {
                out.push_back("HTTP/1.1 200 OK\r\n" + rest);
            }
        }
    }
    for (const std::string_view odd :
         {"Content-Length : 1", "Content-Length\t: 1", " Content-Length: 1", "Content-Length\x01: 1",
          "X: 1\nContent-Length: 1", "Transfer-Encoding : chunked", "\tTransfer-Encoding: chunked",
          "X: 1\nTransfer-Encoding: chunked"}) {
        const std::string line = std::string(odd) + "\r\n";
        for (const std::string &rest : framedResponses(line + std::string(fields), {}, body)) {
            out.push_back("HTTP/1.1 200 OK\r\n" + rest);
        }
    }
    return out;
}

/// Heads that stop at each of their bytes.
inline std::vector<std::string> truncatedHeads(std::string_view fields, std::string_view body)
{
    std::vector<std::string> out;
    for (const std::string &rest : framedResponses(fields, "X-Last: 1\r\n", body)) {
        const std::string head = "HTTP/1.1 200 OK\r\n" + rest.substr(0, rest.find("\r\n\r\n") + 4);
        for (size_t n = 0; n < head.size(); ++n) {
            out.push_back(head.substr(0, n));
        }
    }
    return out;
}

/// Each response once, before the connection is closed.
inline std::vector<BrokenResponse> closedAfter(std::span<const std::string> responses)
{
    std::vector<BrokenResponse> out;
    for (const std::string &it : responses) {
        out.push_back({printable(it), {.bytes = it, .close = true}});
    }
    return out;
}

/// Each response first in its connection and after an interim response, before a close and before a reset.
inline std::vector<BrokenResponse> endedEachWay(std::span<const std::string> responses)
{
    std::vector<BrokenResponse> out;
    for (const std::string &it : responses) {
        for (const std::string_view before : {std::string_view(), InterimResponse}) {
            for (const bool reset : {false, true}) {
                const std::string bytes = std::string(before) + it;
                out.push_back({printable(bytes) + (reset ? ", reset" : ", closed"),
                               {.bytes = bytes, .close = true, .reset = reset}});
            }
        }
    }
    return out;
}

/// All of these responses.
inline std::vector<BrokenResponse> brokenResponses(std::string_view fields, std::string_view body)
{
    std::vector<BrokenResponse> out = closedAfter(brokenFieldNames(fields, body));
    for (const auto &responses : {brokenStatuses(fields, body), truncatedHeads(fields, body)}) {
        for (BrokenResponse &it : endedEachWay(responses)) {
            out.push_back(std::move(it));
        }
    }
    return out;
}

/// Sends these responses in turn, each to so many requests. One target for all: a closed connection occupies the port
/// of its listener for a minute.
inline FakeTarget::Reply inTurn(std::span<const BrokenResponse> responses, size_t requests = 1)
{
    return [responses, requests, n = size_t{0}](int, const std::string &) mutable {
        return responses[n++ / requests].reply;
    };
}

} // namespace damask
