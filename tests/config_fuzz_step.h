// The command type of the stateful tests of config/: a kind and four numbers, which RapidCheck shrinks towards zero. The
// model interprets the numbers, so that a shrunk run prints as a short table.
#pragma once

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <memory>
#include <ostream>

namespace appletally::fuzz {

struct Step {
    int kind = 0;
    int a = 0;
    int b = 0;
    int c = 0;
    int d = 0;
};

// Model: `void advance(const Step&)`. Sut: `void perform(const Model&, const Step&)`, asserts by RC_ASSERT.
template <typename Model, typename Sut>
class StepCommand : public rc::state::Command<Model, Sut> {
public:
    explicit StepCommand(const Step& step)
        : m_step(step)
    {
    }
    void apply(Model& model) const override { model.advance(m_step); }
    void run(const Model& model, Sut& sut) const override { sut.perform(model, m_step); }
    void show(std::ostream& out) const override
    {
        out << Model::kindName(m_step.kind) << "(" << m_step.a << ", " << m_step.b << ", " << m_step.c << ", " << m_step.d << ")";
    }

private:
    Step m_step;
};

constexpr int maxSteps = 300; // of one run; half of that on average

template <typename Model, typename Sut>
void checkSteps()
{
    using Command = rc::state::Command<Model, Sut>;
    const auto number = rc::gen::resize(100, rc::gen::inRange(0, 1000));
    const auto make = [](const std::tuple<int, int, int, int, int>& it) -> std::shared_ptr<const Command> {
        const auto [kind, a, b, c, d] = it;
        return std::make_shared<StepCommand<Model, Sut>>(Step { kind, a, b, c, d });
    };
    const auto next = [=](const Model&) {
        return rc::gen::map(rc::gen::tuple(rc::gen::resize(100, rc::gen::inRange(0, Model::kinds)), number, number, number, number), make);
    };
    const auto initial = [] { return Model {}; };
    const auto commands = *rc::gen::resize(maxSteps, rc::state::gen::commands(initial, next));
    Sut sut;
    rc::state::runAll(commands, initial, sut);
}

} // namespace appletally::fuzz
