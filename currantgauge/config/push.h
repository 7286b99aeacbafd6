// Making a document the next version: parts and manifest are stored by content
// hash, then the head row moves by compare-and-set.
//
//   onPushRequested(Node, Asked.Call, Push, Effects);
#ifndef CURRANTGAUGE_CONFIG_PUSH_H
#define CURRANTGAUGE_CONFIG_PUSH_H

#include "currantgauge/config/state.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::config {

// onPushRequested() starts an operator's push, or queues it behind another one.
void onPushRequested(core::State &Node, base::CallId OperatorCall,
                     const core::AskConfigPush &Query,
                     core::EffectList &Effects);

// onPushParsed() takes the pushed document as parsed. Returns false when it is
// not the one that the push waits for.
bool onPushParsed(core::State &Node, const core::ConfigParsed &Parsed,
                  core::EffectList &Effects);

// onPushAnswered() takes an answer of the store. Returns false when it is to
// another call.
bool onPushAnswered(core::State &Node, const core::StoreAnswered &Answer,
                    core::EffectList &Effects);

// onVersionInForce() answers a push that waited for this node to catch up.
void onVersionInForce(core::State &Node, core::EffectList &Effects);

// resumePush() retries a push whose last step failed, and ends it when its
// time is up.
void resumePush(core::State &Node, core::EffectList &Effects);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_PUSH_H
