/// Incremental decoder for the chunked transfer coding (RFC 9112, section 7.1).
#pragma once

#include "base/result.h"

#include <string>
#include <string_view>

namespace damask {

class ChunkedReader
{
public:
    explicit ChunkedReader(size_t maxBodyBytes); // larger bodies fail with BodyTooLarge

    /// Consumes a prefix of `bytes`; returns true once the last chunk and the trailer have been read.
    Result<bool>       take(std::string_view &bytes);
    std::string       &body(); // decoded and not yet removed
    const std::string &body() const;
    bool               ended() const;
    void               setMaxBodyBytes(size_t n); // from the next chunk on; BodyTooLarge is then tried again

private:
    enum class State {
        Size,
        Data,
        DataEnd,
        Trailer,
        Ended,
    };

    Result<bool> parseLine(std::string_view &bytes);
    Result<void> parseSize(std::string_view line);
    void         readData(std::string_view &bytes);

    size_t      m_maxBodyBytes;
    State       m_state = State::Size;
    size_t      m_chunkBytesLeft = 0; // bytes of the current chunk not yet received
    size_t      m_bodyBytes = 0;      // of all chunks announced so far
    size_t      m_trailerBytes = 0;   // read and discarded
    std::string m_body;
};

} // namespace damask
