#include "currantgauge/runtime/control.h"

#include "currantgauge/runtime/tsan_annotations.h"

#include <caf/all.hpp>

#include <memory>
#include <utility>

namespace currantgauge::runtime {

// CAF wants messages that can be copied: the input travels by its owner.
using SharedInput = std::shared_ptr<ControlInput>;

} // namespace currantgauge::runtime

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(currantgauge::runtime::SharedInput)

namespace currantgauge::runtime {
namespace detail {

// The default scheduler polls while idle; "sharing" waits on a condition
// variable. The actor is detached, so the pool itself stays unused.
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
                  std::function<void(ControlInput &)> Handle) {
  Control.Actor = std::make_unique<detail::ControlActor>();
  Control.Actor->Actor = Control.Actor->System.spawn<caf::detached>(
      [Handle = std::move(Handle)](caf::event_based_actor *) -> caf::behavior {
        return {[Handle](const SharedInput &Input) {
          annotateAcquire(Input.get());
          Handle(*Input);
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
