/// Structured logs: one JSON object a line on standard error or output, through glog.
///
/// Use: `logEvent(Severity::Info, "call-refused", {{"code", 104}, {"requestId", id}});`
/// Strings are escaped and invalid UTF-8 is replaced, so nothing a caller sends can break a line.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace damask {

enum class Severity {
    Info,
    Warning,
    Error,
};

/// One typed field of an event. Views must live until logEvent() returns.
struct LogField {
    /// Text that is JSON already.
    struct Json {
        std::string_view text;
    };
    using Value = std::variant<std::string_view, int64_t, double, bool, Json>;

    LogField(std::string_view fieldName, std::string_view text);
    LogField(std::string_view fieldName, const char *text);
    LogField(std::string_view fieldName, Json json);
    LogField(std::string_view fieldName, bool flag);
    LogField(std::string_view fieldName, double number);
    LogField(std::string_view fieldName, int number);
    LogField(std::string_view fieldName, int64_t number);
    LogField(std::string_view fieldName, uint64_t number);

    std::string_view name; // camelCase
    Value            value;
};

/// Where lines go. A line is left out, and counted, rather than waited for.
enum class LogOutput {
    StandardError,
    StandardOutput,
};

/// Puts the sink in place; call once at the start of main with the program's name.
void startLogging(std::string_view program, LogOutput output = LogOutput::StandardError);

/// Lines left out since the start, because nobody took them in time.
uint64_t droppedLogLines();

/// Writes one event. Safe from all threads; drops below the level set by setLogLevel().
void logEvent(Severity severity, std::string_view event, std::initializer_list<LogField> fields = {});

/// Events below this are not written. Default: Info.
void setLogLevel(Severity level);

/// Appends text to out as a JSON string with quotes; invalid UTF-8 becomes U+FFFD.
void appendJsonString(std::string &out, std::string_view text);

} // namespace damask
