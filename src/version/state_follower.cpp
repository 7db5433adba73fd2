#include "toucanusher/version/state_follower.h"

#include <utility>

namespace toucanusher {

state_follower::state_follower(state_codec codec, std::uint64_t process_instance)
    : codec_(std::move(codec)), process_instance_(process_instance),
      state_(std::make_shared<fleet_state>()) {}

update_outcome state_follower::on_update(time_point now, state_update const& update) {
    last_contact_ = now;
    update_outcome const outcome = apply(update);
    bool const is_confirmed =
        update.confirmed_instance == process_instance_ && version() >= update.newest;
    confirmed_ = confirmed_ || is_confirmed;
    return outcome;
}

update_outcome state_follower::apply(state_update const& update) {
    if (update.snapshot)
        return apply(*update.snapshot);
    std::uint64_t const base = value_of(update.base);
    std::uint64_t const own = value_of(version());
    if (base > own)
        return update_outcome::gap;
    if (base + update.commands.size() <= own)
        return update_outcome::nothing_new;
    auto next = std::make_shared<fleet_state>(*state_);
    for (std::size_t i = own - base; i < update.commands.size(); ++i) {
        auto const command = codec_.decode_command(update.commands[i]);
        if (!command.ok())
            return update_outcome::malformed;
        next->apply(*command);
    }
    state_ = std::move(next);
    if (auto const transfer = receiver_.progress();
        transfer && transfer->snapshot.version <= version())
        receiver_.clear();
    return update_outcome::applied;
}

update_outcome state_follower::apply(snapshot_part const& part) {
    if (part.snapshot.version <= version())
        return update_outcome::nothing_new;
    auto const complete = receiver_.on_part(part);
    if (!complete)
        return update_outcome::partial;
    auto state = codec_.decode_state(*complete);
    if (!state.ok() || state->version() != part.snapshot.version)
        return update_outcome::malformed;
    state_ = std::make_shared<fleet_state>(*std::move(state));
    return update_outcome::applied;
}

} // namespace toucanusher
