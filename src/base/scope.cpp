#include "base/scope.h"

#include <unistd.h>

namespace damask {

void FileDescriptor::reset(int fd)
{
    if (m_fd >= 0) {
        ::close(m_fd);
    }
    m_fd = fd;
}

} // namespace damask
