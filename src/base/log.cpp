#include "base/log.h"

#include <array>
#include <atomic>
#include <cinttypes>
#include <cstdio>
#include <ctime>
#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>

namespace damask {

namespace {

std::atomic<int> logLevel{static_cast<int>(Severity::Info)};
std::atomic<uint64_t> droppedLines{0};
int outputDescriptor = STDERR_FILENO; // set once before threads start
std::string programName = "damask";   // set once before threads start

constexpr std::string_view Replacement = "\xef\xbf\xbd"; // U+FFFD

/// Length in bytes of the valid UTF-8 sequence at the start of text; 0: none.
size_t sequenceLength(std::string_view text)
{
    const auto byte = [&text](size_t n) {
        return static_cast<unsigned char>(text[n]);
    };
    const unsigned char first = byte(0);
    size_t length = 0;
    uint32_t point = 0;
    if (first < 0x80) {
        return 1;
    }
    if (first >= 0xc2 && first <= 0xdf) {
        length = 2;
        point = first & 0x1f;
    } else if (first >= 0xe0 && first <= 0xef) {
        length = 3;
        point = first & 0x0f;
    } else if (first >= 0xf0 && first <= 0xf4) {
        length = 4;
        point = first & 0x07;
    }
    if (length == 0 || text.size() < length) {
        return 0;
    }
    for (size_t n = 1; n < length; ++n) {
        if ((byte(n) & 0xc0) != 0x80) {
            return 0;
        }
        point = (point << 6) | (byte(n) & 0x3f);
    }
    const bool overlong = (length == 3 && point < 0x800) || (length == 4 && point < 0x10000);
    const bool surrogate = point >= 0xd800 && point <= 0xdfff;
    return overlong || surrogate || point > 0x10ffff ? 0 : length;
}

void appendEscaped(std::string &out, char c)
{
    switch (c) {
    case '"':
        out += "\\\"";
        return;
    case '\\':
        out += "\\\\";
        return;
    case '\n':
        out += "\\n";
        return;
    default:
        break;
    }
    std::array<char, 8> buf{};
    std::snprintf(buf.data(), buf.size(), "\\u%04x", static_cast<unsigned>(static_cast<unsigned char>(c)));
    out += buf.data();
}

void appendValue(std::string &out, const LogField::Value &value)
{
    if (const auto *text = std::get_if<std::string_view>(&value)) {
        appendJsonString(out, *text);
    } else if (const auto *json = std::get_if<LogField::Json>(&value)) {
        out += json->text;
    } else if (const auto *flag = std::get_if<bool>(&value)) {
        out += *flag ? "true" : "false";
    } else if (const auto *integer = std::get_if<int64_t>(&value)) {
        out += std::to_string(*integer);
    } else {
        std::array<char, 32> buf{};
        std::snprintf(buf.data(), buf.size(), "%.6g", std::get<double>(value));
        out += buf.data();
    }
}

void appendTime(std::string &out)
{
    timespec n{};
    clock_gettime(CLOCK_REALTIME, &n);
    tm utc{};
    gmtime_r(&n.tv_sec, &utc);
    std::array<char, 40> buf{};
    const size_t length = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    std::snprintf(buf.data() + length, buf.size() - length, ".%03ldZ", n.tv_nsec / 1000000);
    out += buf.data();
}

std::string_view severityName(Severity severity)
{
    switch (severity) {
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        return "error";
    }
    return "error";
}

/// Whether a line can be written without blocking.
bool isOutputWritable()
{
    pollfd it{outputDescriptor, POLLOUT, 0};
    return ::poll(&it, 1, 0) > 0;
}

/// The only sink. logEvent() passes complete JSON lines; glog's own messages are wrapped in JSON.
class JsonSink : public google::LogSink
{
public:
    void send(google::LogSeverity, const char *, const char *, int, const google::LogMessageTime &, const char *message,
              size_t length) override
    {
        std::string line(message, length);
        if (line.empty() || line.front() != '{') {
            std::string wrapped = "{\"event\":\"message\",\"text\":";
            appendJsonString(wrapped, line);
            line = wrapped + "}";
        }
        line += '\n';
        if (!isOutputWritable() || ::write(outputDescriptor, line.data(), line.size()) < 0) {
            droppedLines.fetch_add(1, std::memory_order_relaxed); // the failure can't be logged anywhere else
        }
    }
};

JsonSink jsonSink;

} // namespace

LogField::LogField(std::string_view fieldName, std::string_view text)
    : name(fieldName)
    , value(text)
{
}

LogField::LogField(std::string_view fieldName, const char *text)
    : name(fieldName)
    , value(std::string_view(text))
{
}

LogField::LogField(std::string_view fieldName, Json json)
    : name(fieldName)
    , value(json)
{
}

LogField::LogField(std::string_view fieldName, bool flag)
    : name(fieldName)
    , value(flag)
{
}

LogField::LogField(std::string_view fieldName, double number)
    : name(fieldName)
    , value(number)
{
}

LogField::LogField(std::string_view fieldName, int number)
    : name(fieldName)
    , value(static_cast<int64_t>(number))
{
}

LogField::LogField(std::string_view fieldName, int64_t number)
    : name(fieldName)
    , value(number)
{
}

LogField::LogField(std::string_view fieldName, uint64_t number)
    : name(fieldName)
    , value(static_cast<int64_t>(number))
{
}

void startLogging(std::string_view program, LogOutput output)
{
    outputDescriptor = output == LogOutput::StandardOutput ? STDOUT_FILENO : STDERR_FILENO;
    programName = program;
    FLAGS_logtostderr = false;
    FLAGS_stderrthreshold = google::NUM_SEVERITIES; // only the sink writes
    google::InitGoogleLogging(programName.c_str());
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
        google::SetLogDestination(severity, ""); // no log files: instances have no disks
    }
    google::AddLogSink(&jsonSink);
}

void logEvent(Severity severity, std::string_view event, std::initializer_list<LogField> fields)
{
    if (static_cast<int>(severity) < logLevel.load(std::memory_order_relaxed)) {
        return;
    }
    std::string line = "{\"time\":\"";
    appendTime(line);
    line += "\",\"level\":\"";
    line += severityName(severity);
    line += "\",\"program\":";
    appendJsonString(line, programName);
    line += ",\"event\":";
    appendJsonString(line, event);
    for (const LogField &it : fields) {
        line += ',';
        appendJsonString(line, it.name);
        line += ':';
        appendValue(line, it.value);
    }
    line += '}';
    if (google::IsGoogleLoggingInitialized()) {
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&jsonSink, INFO) << line;
    } else {
        jsonSink.send(google::GLOG_INFO, "", "", 0, google::LogMessageTime(), line.data(), line.size());
    }
}

uint64_t droppedLogLines()
{
    return droppedLines.load(std::memory_order_relaxed);
}

void setLogLevel(Severity level)
{
    logLevel = static_cast<int>(level);
}

void appendJsonString(std::string &out, std::string_view text)
{
    out += '"';
    while (!text.empty()) {
        const size_t length = sequenceLength(text);
        if (length == 0) {
            out += Replacement;
            text.remove_prefix(1);
            continue;
        }
        const char c = text.front();
        if (length == 1 && (c < 0x20 || c == '"' || c == '\\' || c == 0x7f)) {
            appendEscaped(out, c);
        } else {
            out += text.substr(0, length);
        }
        text.remove_prefix(length);
    }
    out += '"';
}

} // namespace damask
