// A loopback address that neither accepts nor refuses connections, like that of a host without power.
#pragma once

#include "appletally/base/ids.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

// A listener with a full backlog that never accepts: the kernel drops further connection attempts.
class UnresponsiveAddress {
public:
    UnresponsiveAddress()
    {
        m_sockets.push_back(socket(AF_INET, SOCK_STREAM, 0));
        sockaddr_in at {};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(m_sockets[0], reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(m_sockets[0], 0) != 0)
            abort();
        socklen_t n = sizeof at;
        getsockname(m_sockets[0], reinterpret_cast<sockaddr*>(&at), &n);
        address = { "127.0.0.1", ntohs(at.sin_port) };
        constexpr int backlogConnections = 4;
        for (int it = 0; it < backlogConnections; ++it) {
            m_sockets.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            (void)connect(m_sockets.back(), reinterpret_cast<sockaddr*>(&at), sizeof at); // those beyond the backlog stay in SYN-SENT
        }
    }
    ~UnresponsiveAddress()
    {
        for (const int it : m_sockets)
            close(it);
    }
    UnresponsiveAddress(const UnresponsiveAddress&) = delete;
    UnresponsiveAddress& operator=(const UnresponsiveAddress&) = delete;

    appletally::base::Address address;

private:
    std::vector<int> m_sockets;
};
