// The operator interface of a process that accepts no changes.
#include "appletally/inner/operator_port.h"

#include "appletally/inner/rpc_connection.h"
#include "appletally/inner/rpc_wire.h"

namespace appletally::inner {

static base::Error readOnlyError() { return base::fail(base::Code::BadCommandLine, "this process accepts no changes; send them to a voter"); }

kj::Promise<void> ReadOnlyOperator::change(ChangeContext context)
{
    write(context.getResults().initFailure(), readOnlyError());
    return kj::READY_NOW;
}

kj::Promise<void> ReadOnlyOperator::replaceVoter(ReplaceVoterContext context)
{
    write(context.getResults().initFailure(), readOnlyError());
    return kj::READY_NOW;
}

kj::Promise<void> ReadOnlyOperator::read(ReadContext context)
{
    return kj::evalNow([&] { return m_readState(text(context.getParams().getWhat())); })
        .then([context](kj::String json) mutable { context.getResults().setJson(json); },
            [context](kj::Exception&& problem) mutable {
                write(context.getResults().initFailure(), base::fail(base::Code::Internal, describe(problem)));
            });
}

} // namespace appletally::inner
