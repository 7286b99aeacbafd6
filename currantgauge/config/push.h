// Makes a pushed document the next version: writes its parts and its manifest
// to the store, then updates the head row by compare-and-set.
//
//   onPushRequested(Node, OperatorCall, Query, Effects);
#ifndef CURRANTGAUGE_CONFIG_PUSH_H
#define CURRANTGAUGE_CONFIG_PUSH_H

#include "currantgauge/config/state.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::config {

// onPushRequested() starts an operator's push or queues it if one is in
// progress. It answers at once if the push is in force already, lacks its id or
// author, consists of changes that don't apply to the version in force, or if
// the queue is full.
void onPushRequested(core::State &Node, base::CallId OperatorCall,
                     const core::ConfigPushCommand &Query,
                     core::EffectList &Effects);

// onPushParsed() handles the parsed document of the pending push. Returns false
// if Parsed is the result of another call.
bool onPushParsed(core::State &Node, const core::ConfigParsed &Parsed,
                  core::EffectList &Effects);

// onPushAnswered() handles the store's answer to a call of the pending push.
// Returns false if the answer is to another call.
bool onPushAnswered(core::State &Node, const core::StoreAnswered &Answer,
                    core::EffectList &Effects);

// onVersionInForce() refuses a push that waited for the version now in force.
void onVersionInForce(core::State &Node, core::EffectList &Effects);

// resumePush() repeats the pending push's failed step, or ends the push if its
// deadline has passed, unless its document is still being parsed.
void resumePush(core::State &Node, core::EffectList &Effects);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_PUSH_H
