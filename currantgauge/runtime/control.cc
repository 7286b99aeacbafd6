#include "currantgauge/runtime/control.h"

#include "currantgauge/runtime/tsan_annotations.h"

#include <caf/all.hpp>

#include <memory>
#include <utility>

namespace currantgauge::runtime {

// CAF requires copyable messages, so the input is sent as a shared pointer.
using SharedInput = std::shared_ptr<ControlInput>;

} // namespace currantgauge::runtime

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(currantgauge::runtime::SharedInput)

namespace currantgauge::runtime {
namespace detail {

// CAF's default scheduler polls while it is idle; "sharing" waits on a
// condition variable. The actor is detached, so the scheduler's pool has no
// work.
struct ControlConfig : caf::actor_system_config {
  ControlConfig() {
    this->set("scheduler.policy", caf::atom("sharing"));
    this->set("scheduler.max-threads", std::size_t{1});
  }
};

struct ControlActor {
  ControlConfig Config;
  caf::actor_system System{Config};
  caf::actor Actor;
};

} // namespace detail

ControlThread::ControlThread() = default;
ControlThread::~ControlThread() = default;

void startControl(ControlThread &Control,
                  std::function<void(ControlInput &)> Handler) {
  Control.Actor = std::make_unique<detail::ControlActor>();
  Control.Actor->Actor = Control.Actor->System.spawn<caf::detached>(
      [Handler =
           std::move(Handler)](caf::event_based_actor *) -> caf::behavior {
        return {[Handler](const SharedInput &Input) {
          annotateAcquire(Input.get());
          Handler(*Input);
        }};
      });
}

void postInput(ControlThread &Control, ControlInput Input) {
  auto Shared = std::make_shared<ControlInput>(std::move(Input));
  annotateRelease(Shared.get());
  caf::anon_send(Control.Actor->Actor, std::move(Shared));
}

void stopControl(ControlThread &Control) {
  caf::anon_send_exit(Control.Actor->Actor, caf::exit_reason::user_shutdown);
  Control.Actor->System.await_all_actors_done();
}

} // namespace currantgauge::runtime
