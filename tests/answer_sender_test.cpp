// Answers that wait at an owner for the links to other nodes.
#include "appletally/node/answer_sender.h"

#include <catch2/catch.hpp>

using namespace appletally;

namespace {

constexpr uint64_t maxWaitingBytes = 1'000'000;

struct WaitingAnswers {
    event_base* loop = event_base_new();
    int timesWithRoom = 0;
    uint64_t sentBytes = 0;
    std::unique_ptr<node::AnswerSender> sender = std::make_unique<node::AnswerSender>(loop, maxWaitingBytes, [this] { ++timesWithRoom; });
    policy::ConnectionNumber link = sender->addLink({ [this](uint64_t, evbuffer* buf) {
                                                         sentBytes += evbuffer_get_length(buf);
                                                         evbuffer_drain(buf, evbuffer_get_length(buf));
                                                     },
        [](uint64_t, const node::CallEnd&, uint64_t) {} });

    ~WaitingAnswers()
    {
        sender.reset();
        event_base_free(loop);
    }

    void add(uint64_t call, size_t bytes)
    {
        const std::string text(bytes, 'x');
        evbuffer* buf = evbuffer_new();
        evbuffer_add(buf, text.data(), text.size());
        sender->begin({ link, call }, static_cast<int64_t>(bytes));
        sender->body({ link, call }, buf);
        sender->end({ link, call }, {});
        evbuffer_free(buf);
    }
};

} // namespace

TEST_CASE("answers that wait for a link are full at their bound of memory, until half of it is free", "[node][answers]")
{
    // Guards against an owner that is killed over its memory limit by answers that its upstream gives faster than its link takes them.
    WaitingAnswers it;
    for (uint64_t n = 0; n < 4; ++n)
        it.add(n, 200'000);
    CHECK_FALSE(it.sender->isFull());
    for (uint64_t n = 4; n < 6; ++n)
        it.add(n, 200'000);
    CHECK(it.sender->isFull());
    SECTION("as the other node receives them")
    {
        for (int n = 0; n < 1000 && it.timesWithRoom == 0; ++n) {
            for (uint64_t call = 0; call < 6; ++call)
                it.sender->acknowledged({ it.link, call }, policy::pieceBytes);
        }
        CHECK(it.sentBytes >= 700'000);
    }
    SECTION("as calls are cancelled")
    {
        for (uint64_t call = 0; call < 4; ++call)
            it.sender->cancel({ it.link, call });
    }
    SECTION("as the link goes")
    {
        it.sender->removeLink(it.link);
    }
    CHECK_FALSE(it.sender->isFull());
    CHECK(it.timesWithRoom == 1);
}
