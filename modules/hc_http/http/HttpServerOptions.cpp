#include "hemlockchute/http/HttpServer.h"

namespace hemlockchute {

HttpServer::Options HttpServer::Options::withMaximumHeaderBytes(std::size_t value) const
{
    Options copy = *this;
    copy.maximumHeaderBytes = value;
    return copy;
}

HttpServer::Options HttpServer::Options::withMaximumBodyBytes(std::size_t value) const
{
    Options copy = *this;
    copy.maximumBodyBytes = value;
    return copy;
}

HttpServer::Options HttpServer::Options::withMaximumConnections(std::size_t value) const
{
    Options copy = *this;
    copy.maximumConnections = value;
    return copy;
}

HttpServer::Options HttpServer::Options::withIdleTimeout(Duration value) const
{
    Options copy = *this;
    copy.idleTimeout = value;
    return copy;
}

HttpServer::Options HttpServer::Options::withReadTimeout(Duration value) const
{
    Options copy = *this;
    copy.readTimeout = value;
    return copy;
}

HttpServer::Options HttpServer::Options::withWriteTimeout(Duration value) const
{
    Options copy = *this;
    copy.writeTimeout = value;
    return copy;
}

HttpServer::Options HttpServer::Options::withSingleThread() const
{
    Options copy = *this;
    copy.isSingleThreaded = true;
    return copy;
}

} // namespace hemlockchute
