/// Reading a body in chunks (RFC 9112, section 7.1) as its bytes come in.
#pragma once

#include "base/result.h"

#include <string>
#include <string_view>

namespace damask {

class ChunkedReader
{
public:
    explicit ChunkedReader(size_t maxBodyBytes); // BodyTooLarge above it

    /// Takes bytes off the front of `bytes`; true when the last chunk and the trailer were read.
    Result<bool>       take(std::string_view &bytes);
    std::string       &body(); // what was read so far
    const std::string &body() const;

private:
    enum class State {
        Size,
        Data,
        DataEnd,
        Trailer,
    };

    Result<bool> parseLine(std::string_view &bytes);
    Result<void> parseSize(std::string_view line);
    void         readData(std::string_view &bytes);

    size_t      m_maxBodyBytes;
    State       m_state = State::Size;
    size_t      m_chunkBytesLeft = 0; // bytes of the chunk still to come
    size_t      m_trailerBytes = 0;   // read and dropped
    std::string m_body;
};

} // namespace damask
