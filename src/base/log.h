/// Structured logging through glog: one JSON object per line on standard error or standard output.
///
/// Use: `logEvent(Severity::Info, "call-refused", {{"code", 104}, {"requestId", id}});`
/// Strings are escaped and invalid UTF-8 is replaced, so no input from a caller can corrupt a line.
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

/// One typed field of an event. Views must stay valid until logEvent() returns.
struct LogField {
    /// Text that is already valid JSON and is written unescaped.
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

/// Where lines are written. A line that can't be written without blocking is dropped and counted.
enum class LogOutput {
    StandardError,
    StandardOutput,
};

/// Installs the log sink. Call once at the start of main with the program's name.
void startLogging(std::string_view program, LogOutput output = LogOutput::StandardError);

/// Lines dropped since the start because the reader of the output was too slow.
uint64_t droppedLogLines();

/// Writes one event, unless its severity is below the level set by setLogLevel(). Thread-safe.
void logEvent(Severity severity, std::string_view event, std::initializer_list<LogField> fields = {});

/// Sets the lowest severity that is written. Default: Info.
void setLogLevel(Severity level);

/// Appends text to out as a quoted JSON string; invalid UTF-8 becomes U+FFFD.
void appendJsonString(std::string &out, std::string_view text);

} // namespace damask
