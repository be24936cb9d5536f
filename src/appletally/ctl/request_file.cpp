// Reads, writes and reuses the pending request.
#include "appletally/ctl/request_file.h"

#include "appletally/base/json_reader.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

namespace appletally::ctl {

base::Result<RequestFile> readRequestFile(const std::string& path)
{
    RequestFile out { path, {}, {} };
    if (access(path.c_str(), F_OK) != 0)
        return out;
    auto json = base::readJsonFile(path);
    if (!json)
        return json.error();
    base::ReadProblem problem;
    base::JsonReader top(json.value(), path, problem);
    out.last.value = static_cast<uint64_t>(top.integer("last", 0, INT64_MAX));
    const std::string pending = top.text("pending", "", size_t { 8 } << 20);
    top.finish();
    if (problem.first)
        return *problem.first;
    if (pending.empty())
        return out;
    auto command = config::decodeCommand(pending);
    if (!command)
        return command.error();
    out.pending = std::move(command.value());
    return out;
}

base::Result<void> writeRequestFile(const RequestFile& file)
{
    base::Json json = { { "last", file.last.value } };
    if (file.pending)
        json["pending"] = config::encode(*file.pending);
    const std::string bytes = json.dump() + "\n";
    const std::string temporaryPath = file.path + ".new";
    const int fd = open(temporaryPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    const bool written = fd >= 0 && write(fd, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()) && fsync(fd) == 0;
    if (fd >= 0)
        close(fd);
    if (!written || rename(temporaryPath.c_str(), file.path.c_str()) != 0)
        return base::fail(base::Code::SettingsUnreadable, file.path + ": cannot be written: " + std::strerror(errno));
    return base::success();
}

static config::OperatorRequest* requestIn(config::Command& command) { return const_cast<config::OperatorRequest*>(config::requestOf(command)); }

static bool isSameRequest(config::Command a, const config::Command& b, bool baseGiven)
{
    config::OperatorRequest* request = requestIn(a);
    const config::OperatorRequest* other = config::requestOf(b);
    if (!request || !other || (baseGiven && request->base != other->base))
        return false;
    request->number = other->number;
    request->base = other->base;
    // The command gives a duration ("within N seconds"). When it is run again, it means the rollout of the first attempt, so
    // the deadline is not compared.
    auto* rollout = std::get_if<config::StartRollout>(&a);
    const auto* first = std::get_if<config::StartRollout>(&b);
    if (rollout && first)
        rollout->completeBy = first->completeBy;
    return config::requestHash(a) == config::requestHash(b);
}

void numberRequest(RequestFile& file, config::Command& command, base::RequestNumber number, bool baseGiven)
{
    config::OperatorRequest* request = requestIn(command);
    if (number.value != 0) {
        request->number = number;
        file.last = std::max(file.last, number);
    } else if (file.pending && isSameRequest(command, *file.pending, baseGiven)) {
        command = *file.pending;
    } else {
        request->number = { ++file.last.value };
    }
    file.pending = command;
}

} // namespace appletally::ctl
