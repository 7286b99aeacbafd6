#include "currantgauge/runtime/answer_pipe.h"

#include <doctest/doctest.h>

namespace currantgauge::runtime {

TEST_CASE("a full pipe makes its writer wait until the reader has taken") {
  AnswerPipePtr Pipe(new AnswerPipe);
  int Woken = 0;
  setWakeWriter(*Pipe, [&] { ++Woken; });
  CHECK(pushPart(*Pipe, AnswerHead{200, {}}));
  CHECK_FALSE(pushPart(*Pipe, AnswerChunk{std::string(MaxPipeBytes, 'x')}));
  CHECK_FALSE(hasRoom(*Pipe));
  popPart(*Pipe);
  CHECK(Woken == 0);
  popPart(*Pipe);
  CHECK(Woken == 1);
  CHECK(hasRoom(*Pipe));
}

TEST_CASE("nothing follows the end of an answer") {
  AnswerPipePtr Pipe(new AnswerPipe);
  pushPart(*Pipe, AnswerEnd{});
  pushPart(*Pipe, AnswerChunk{"late"});
  CHECK(std::holds_alternative<AnswerEnd>(*popPart(*Pipe)));
  CHECK_FALSE(popPart(*Pipe).has_value());
}

TEST_CASE("an answer too long to keep is not kept in part") {
  AnswerPipePtr Pipe(new AnswerPipe);
  Pipe->Record = true;
  pushPart(*Pipe, AnswerHead{200, {}});
  CHECK(Pipe->Recorded.size() == 1);
  pushPart(*Pipe, AnswerChunk{std::string(MaxRecordedBytes + 1, 'x')});
  CHECK(Pipe->Recorded.empty());
}

TEST_CASE("a cancel wakes the writer of a full pipe, which then never waits") {
  AnswerPipePtr Pipe(new AnswerPipe);
  int Woken = 0;
  setWakeWriter(*Pipe, [&] { ++Woken; });
  CHECK_FALSE(pushPart(*Pipe, AnswerChunk{std::string(MaxPipeBytes, 'x')}));
  cancelPipe(*Pipe);
  CHECK(Woken == 1);
  CHECK(hasRoom(*Pipe));
  CHECK(pushPart(*Pipe, AnswerChunk{std::string(MaxPipeBytes, 'y')}));
  CHECK(Pipe->Bytes == MaxPipeBytes);
  pushPart(*Pipe, AnswerEnd{});
  CHECK(Pipe->Ended);
}

TEST_CASE("a cancelled pipe still records an answer that is kept") {
  AnswerPipePtr Pipe(new AnswerPipe);
  Pipe->Record = true;
  cancelPipe(*Pipe);
  pushPart(*Pipe, AnswerHead{200, {}});
  pushPart(*Pipe, AnswerChunk{"done"});
  CHECK(Pipe->Recorded.size() == 2);
  CHECK(Pipe->Parts.empty());
}

TEST_CASE("a cancel that came first reaches a later writer") {
  AnswerPipePtr Pipe(new AnswerPipe);
  cancelPipe(*Pipe);
  bool Told = false;
  setOnCancel(*Pipe, [&] { Told = true; });
  CHECK(Told);
}

} // namespace currantgauge::runtime
