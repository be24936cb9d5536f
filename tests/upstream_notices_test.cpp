// What upstreams say of themselves in their answers: which values are read, and what follows for callers.
#include "appletally/node/upstream_notices.h"

#include <catch2/catch.hpp>

using namespace appletally;

TEST_CASE("values of upstream notices that cannot be read are ignored", "[node]")
{
    // Guards against a limit of nothing, or of a wrong size, read from a damaged header field.
    const node::Dialect names;
    for (const char* text : { "", " ", "abc", "-1", "+5", "1e3", "0x10", "nan", "inf", ".5", "5.", "1.2.3", "20, 30", "12345678901234567" }) {
        const node::UpstreamNotices it = node::readNotices({ { names.limit, text } }, names);
        INFO("limit " << text);
        CHECK(!it.limit);
        CHECK(it.limitUnreadable);
    }
    CHECK(node::readNotices({ { names.limit, "20" }, { names.limit, "20" } }, names).limitUnreadable);
    CHECK(node::readNotices({ { "appletally-limit", " 6.2\t" } }, names).limit == 6.2);
    CHECK(node::readNotices({ { names.limit, "0" } }, names).limit == 0.0);
    for (const char* text : { "0", "true", "11", "" }) {
        const node::UpstreamNotices it = node::readNotices({ { names.leaving, text } }, names);
        CHECK(!it.leaving);
        CHECK(it.leavingUnreadable);
    }
    CHECK(node::readNotices({ { names.leaving, "1" } }, names).leaving);
    const node::UpstreamNotices none = node::readNotices({ { "Server-Limit", "1" } }, names);
    CHECK((!none.limit && !none.limitUnreadable && !none.leavingUnreadable));
}
