#include "base/log.h"

#include <criterion/criterion.h>
#include <string>

using namespace damask;

static std::string quoted(std::string_view text)
{
    std::string out;
    appendJsonString(out, text);
    return out;
}

Test(log, newlines_and_quotes_are_escaped)
{
    cr_assert(quoted("a\nb\"c\\") == "\"a\\nb\\\"c\\\\\"");
    cr_assert(quoted(std::string_view("\0", 1)) == "\"\\u0000\"");
}

Test(log, invalid_utf8_becomes_the_replacement_character)
{
    cr_assert(quoted("\xff") == "\"\xef\xbf\xbd\"");
    cr_assert(quoted("\xc0\xaf") == "\"\xef\xbf\xbd\xef\xbf\xbd\"", "an overlong encoding is invalid");
    cr_assert(quoted("\xed\xa0\x80") == "\"\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd\"", "a surrogate is invalid");
    cr_assert(quoted("caf\xc3\xa9") == "\"caf\xc3\xa9\"");
}
