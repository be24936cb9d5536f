// Delivers the messages of a base::Channel within a KJ event loop.
#pragma once

#include "appletally/base/channel.h"

#include <kj/async-io.h>
#include <kj/async-unix.h>

namespace appletally::inner {

// Calls `handle` for each message until the promise is dropped. The channel and the observer must outlive the promise.
template <typename Message, typename Handle>
kj::Promise<void> pump(base::Channel<Message>& channel, kj::UnixEventPort::FdObserver& observer, Handle handle)
{
    // Drained before waiting: the observer only signals messages that arrive after it was armed.
    for (Message& it : channel.take())
        handle(std::move(it));
    return observer.whenBecomesReadable().then([&channel, &observer, handle = std::move(handle)]() mutable { return pump(channel, observer, std::move(handle)); });
}

} // namespace appletally::inner
