#include "common/http_text.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace damask::standin;

Test(http_text, a_request_is_extracted_only_when_complete)
{
    const std::string whole = "POST /a?b=1 HTTP/1.1\r\nContent-Length: 3\r\nX-A:  v \r\n\r\nabc";
    for (size_t n = 0; n < whole.size(); ++n) {
        std::string buf = whole.substr(0, n);
        const auto taken = extractRequest(buf);
        cr_assert(taken.has_value() && !taken->has_value(), "%zu bytes are not a complete request", n);
    }
    std::string buf = whole + "GET";
    const auto taken = extractRequest(buf);
    cr_assert(taken.has_value() && taken->has_value());
    cr_assert((*taken)->path == "/a?b=1" && (*taken)->body == "abc");
    cr_assert(headerValue((*taken)->headers, "x-a") == "v");
    cr_assert(buf == "GET", "bytes of the next request stay in the buffer");
}

Test(http_text, a_malformed_request_is_an_error)
{
    for (const char *text :
         {"GET\r\n\r\n", "GET / HTTP/1.1\r\nnocolon\r\n\r\n", "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"}) {
        std::string buf = text;
        cr_assert(!extractRequest(buf).has_value(), "%s", text);
    }
}
