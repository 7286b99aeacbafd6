#include "currantgauge/actions/action_ids.h"

#include "currantgauge/actions/action_id.h"

namespace currantgauge::actions {
namespace {

constexpr base::Duration IdLifetime = base::minutes(5);

} // namespace

void onActionIdAsked(core::State &Node, const core::ActionIdAsked &Asked,
                     core::EffectList &Effects) {
  core::AnswerActionId Answer;
  Answer.Request = Asked.Request;
  if (Node.Self.ActionSecret.empty())
    Answer.Why = base::Reason::NoConfiguration;
  else if (Node.Stopping)
    Answer.Why = base::Reason::NodeStopping;
  if (Answer.Why == base::Reason::None) {
    Answer.Action =
        signActionId(ActionId{Node.Self.Name, Node.Self.Life,
                              ++Node.Actions.LastId, Node.Now + IdLifetime},
                     Node.Self.ActionSecret);
    Answer.ValidFor = IdLifetime;
  }
  Effects.push_back(Answer);
}

} // namespace currantgauge::actions
