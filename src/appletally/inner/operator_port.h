// The operator interface of a process that only serves reads (status and dump).
#pragma once

#include "appletally/inner/control.capnp.h"

#include <functional>
#include <kj/async.h>
#include <string>

namespace appletally::inner {

// `what` is "status", "versions", "rollouts" or "dump"; returns JSON. An exception is returned to the client as a failure.
using ReadState = std::function<kj::Promise<kj::String>(const std::string& what)>;

class ReadOnlyOperator final : public rpc::Operator::Server {
public:
    explicit ReadOnlyOperator(ReadState readState)
        : m_readState(std::move(readState))
    {
    }

private:
    kj::Promise<void> beat(BeatContext) override { return kj::READY_NOW; }
    kj::Promise<void> change(ChangeContext) override;
    kj::Promise<void> read(ReadContext) override;
    kj::Promise<void> replaceVoter(ReplaceVoterContext) override;

    ReadState m_readState;
};

} // namespace appletally::inner
