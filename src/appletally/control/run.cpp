// Startup and graceful shutdown of a control process; see the header.
#include "appletally/control/run.h"

#include "appletally/base/log.h"
#include "appletally/control/formation.h"
#include "appletally/control/process.h"

#include <csignal>
#include <kj/async-unix.h>
#include <unistd.h>

namespace appletally::control {

namespace {

    constexpr base::Duration stopPollInterval { 10 }; // how often a stopping process checks for pending changes

    kj::Promise<void> untilChangesDone(kj::Timer& timer, const ControlProcess& process)
    {
        if (process.pendingChanges() == 0)
            return kj::READY_NOW;
        return timer.afterDelay(stopPollInterval.ms * kj::MILLISECONDS).then([&timer, &process] { return untilChangesDone(timer, process); });
    }

    kj::Promise<siginfo_t> stopSignal(kj::UnixEventPort& port) { return port.onSignal(SIGTERM).exclusiveJoin(port.onSignal(SIGINT)); }

} // namespace

base::Result<void> formatFolder(const ControlSettings& settings, bool first)
{
    if (settings.role != ProcessRole::Voter)
        return base::fail(base::Code::SettingsOutOfRange, "a relay has no data folder");
    consensus::FormatOptions options { { inner::randomNumber() }, settings.membership.host, {} };
    if (first)
        options.members.push_back({ options.id, options.host, consensus::Role::Voter, {} });
    return consensus::formatFolder(consensus::systemFileCalls(), settings.data, options);
}

static base::Result<consensus::DiskLog> openLog(const ControlSettings& settings)
{
    const consensus::FileCalls calls = consensus::systemFileCalls();
    return settings.seeds.empty() ? consensus::openFolder(calls, settings.data) : openOrFormat(calls, settings);
}

base::Result<void> run(const ControlSettings& settings, const MakePort& makePort)
{
    // Before any thread starts: KJ requires these signals to be blocked in all other threads.
    kj::UnixEventPort::captureSignal(SIGTERM);
    kj::UnixEventPort::captureSignal(SIGINT);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN); // a port that reloads settings watches its file instead; the default action would end the process
    auto io = kj::setupAsyncIo();

    std::optional<consensus::DiskLog> disk;
    if (settings.role == ProcessRole::Voter) {
        auto opened = openLog(settings);
        if (!opened)
            return opened.error();
        disk = std::move(opened.value());
        if (disk->truncatedBytes != 0)
            base::logEvent(base::Event::LogTailTruncated, std::to_string(disk->truncatedBytes) + " bytes of an incomplete write");
    }
    ControlProcess process(io, settings, std::move(disk));
    const auto address = process.listen();
    if (!address)
        return address.error();
    std::unique_ptr<ExtraPort> extra;
    if (makePort) {
        auto made = makePort(io, process);
        if (!made)
            return made.error();
        extra = std::move(made.value());
    }
    base::logEvent(base::Event::Started, "listening on " + address.value().text());

    stopSignal(io.unixEventPort).wait(io.waitScope);
    base::logEvent(base::Event::Stopping, "waiting for pending operator changes");
    auto second = stopSignal(io.unixEventPort).then([](siginfo_t&&) { _exit(128 + SIGTERM); }).eagerlyEvaluate(nullptr);
    process.stopListening();
    if (extra)
        extra->stopListening();
    kj::Timer& timer = io.provider->getTimer();
    const bool changesDone = untilChangesDone(timer, process)
                                 .then([] { return true; })
                                 .exclusiveJoin(timer.afterDelay(settings.shutdownTimeout.ms * kj::MILLISECONDS).then([] { return false; }))
                                 .wait(io.waitScope);
    base::logEvent(changesDone ? base::Event::Stopped : base::Event::GracefulShutdownTimedOut, changesDone ? "no changes pending" : "changes were still pending");
    return base::success();
}

} // namespace appletally::control
