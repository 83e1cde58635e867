#include "hemlockchute/http/HttpClient.h"

namespace hemlockchute {

HttpClient::Options HttpClient::Options::withConnectTimeout(Duration value) const
{
    Options copy = *this;
    copy.connectTimeout = value;
    return copy;
}

HttpClient::Options HttpClient::Options::withAcknowledgeTimeout(std::chrono::milliseconds value) const
{
    Options copy = *this;
    copy.acknowledgeTimeout = value;
    return copy;
}

HttpClient::Options HttpClient::Options::withMaximumIdleConnections(std::size_t value) const
{
    Options copy = *this;
    copy.maximumIdleConnections = value;
    return copy;
}

HttpClient::Options HttpClient::Options::withIdleTimeout(Duration value) const
{
    Options copy = *this;
    copy.idleTimeout = value;
    return copy;
}

HttpClient::Options HttpClient::Options::withMaximumTotalBodyBytes(std::size_t value) const
{
    Options copy = *this;
    copy.maximumTotalBodyBytes = value;
    return copy;
}

HttpClient::Options HttpClient::Options::withMaximumBodyBytes(std::size_t value) const
{
    Options copy = *this;
    copy.maximumBodyBytes = value;
    return copy;
}

} // namespace hemlockchute
