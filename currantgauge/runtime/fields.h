// The fields of a plain struct, one after the other, without naming them: what
// the journal needs to write any event or effect.
//
//   forEachField(Event, [](auto &Field) { ... });
#ifndef CURRANTGAUGE_RUNTIME_FIELDS_H
#define CURRANTGAUGE_RUNTIME_FIELDS_H

#include <cstddef>
#include <type_traits>
#include <utility>

namespace currantgauge::runtime {

namespace detail {

// AnyField converts to whatever a field is, in an unevaluated expression.
struct AnyField {
  template <typename T> constexpr operator T() const noexcept;
};

template <typename T, std::size_t... I>
constexpr bool takes(std::index_sequence<I...>) {
  return requires { T{(static_cast<void>(I), AnyField{})...}; };
}

constexpr std::size_t MostFields = 21;

// countFields() is the largest number of initializers that T takes.
template <typename T, std::size_t N = MostFields>
constexpr std::size_t countFields() {
  if constexpr (N == 0)
    return 0;
  else if constexpr (takes<T>(std::make_index_sequence<N>()))
    return N;
  else
    return countFields<T, N - 1>();
}

} // namespace detail

// forEachField() calls Call on each field of an aggregate of at most 20.
template <typename T, typename F> void forEachField(T &Value, F Call) {
  constexpr std::size_t N = detail::countFields<std::remove_const_t<T>>();
  static_assert(N < detail::MostFields, "too many fields for forEachField");
  if constexpr (N == 1) {
    auto &[A] = Value;
    Call(A);
  } else if constexpr (N == 2) {
    auto &[A, B] = Value;
    Call(A), Call(B);
  } else if constexpr (N == 3) {
    auto &[A, B, C] = Value;
    Call(A), Call(B), Call(C);
  } else if constexpr (N == 4) {
    auto &[A, B, C, D] = Value;
    Call(A), Call(B), Call(C), Call(D);
  } else if constexpr (N == 5) {
    auto &[A, B, C, D, E] = Value;
    Call(A), Call(B), Call(C), Call(D), Call(E);
  } else if constexpr (N == 6) {
    auto &[A, B, C, D, E, G] = Value;
    Call(A), Call(B), Call(C), Call(D), Call(E), Call(G);
  } else if constexpr (N == 7) {
    auto &[A, B, C, D, E, G, H] = Value;
    Call(A), Call(B), Call(C), Call(D), Call(E), Call(G), Call(H);
  } else if constexpr (N == 8) {
    auto &[A, B, C, D, E, G, H, I] = Value;
    Call(A), Call(B), Call(C), Call(D), Call(E), Call(G), Call(H), Call(I);
  } else if constexpr (N == 9) {
    auto &[A, B, C, D, E, G, H, I, J] = Value;
    Call(A), Call(B), Call(C), Call(D), Call(E), Call(G), Call(H), Call(I);
    Call(J);
  } else if constexpr (N == 10) {
    auto &[A, B, C, D, E, G, H, I, J, K] = Value;
    Call(A), Call(B), Call(C), Call(D), Call(E), Call(G), Call(H), Call(I);
    Call(J), Call(K);
  } else if constexpr (N == 11) {
    auto &[A, B, C, D, E, G, H, I, J, K, L] = Value;
    Call(A), Call(B), Call(C), Call(D), Call(E), Call(G), Call(H), Call(I);
    Call(J), Call(K), Call(L);
  } else if constexpr (N == 12) {
    auto &[A, B, C, D, E, G, H, I, J, K, L, M] = Value;
    Call(A), Call(B), Call(C), Call(D), Call(E), Call(G), Call(H), Call(I);
    Call(J), Call(K), Call(L), Call(M);
  } else if constexpr (N == 13) {
    auto &[A, B, C, D, E, G, H, I, J, K, L, M, O] = Value;
    Call(A), Call(B), Call(C), Call(D), Call(E), Call(G), Call(H), Call(I);
    Call(J), Call(K), Call(L), Call(M), Call(O);
  } else if constexpr (N == 14) {
    auto &[A, B, C, D, E, G, H, I, J, K, L, M, O, P] = Value;
    Call(A), Call(B), Call(C), Call(D), Call(E), Call(G), Call(H), Call(I);
    Call(J), Call(K), Call(L), Call(M), Call(O), Call(P);
  } else if constexpr (N == 15) {
    auto &[A, B, C, D, E, G, H, I, J, K, L, M, O, P, Q] = Value;
    Call(A), Call(B), Call(C), Call(D), Call(E), Call(G), Call(H), Call(I);
    Call(J), Call(K), Call(L), Call(M), Call(O), Call(P), Call(Q);
  } else if constexpr (N == 16) {
    auto &[A, B, C, D, E, G, H, I, J, K, L, M, O, P, Q, R] = Value;
    Call(A), Call(B), Call(C), Call(D), Call(E), Call(G), Call(H), Call(I);
    Call(J), Call(K), Call(L), Call(M), Call(O), Call(P), Call(Q), Call(R);
  } else if constexpr (N == 17) {
    auto &[A, B, C, D, E, G, H, I, J, K, L, M, O, P, Q, R, S] = Value;
    Call(A), Call(B), Call(C), Call(D), Call(E), Call(G), Call(H), Call(I);
    Call(J), Call(K), Call(L), Call(M), Call(O), Call(P), Call(Q), Call(R);
    Call(S);
  } else if constexpr (N == 18) {
    auto &[A, B, C, D, E, G, H, I, J, K, L, M, O, P, Q, R, S, T0] = Value;
    Call(A), Call(B), Call(C), Call(D), Call(E), Call(G), Call(H), Call(I);
    Call(J), Call(K), Call(L), Call(M), Call(O), Call(P), Call(Q), Call(R);
    Call(S), Call(T0);
  } else if constexpr (N == 19) {
    auto &[A, B, C, D, E, G, H, I, J, K, L, M, O, P, Q, R, S, T0, U] = Value;
    Call(A), Call(B), Call(C), Call(D), Call(E), Call(G), Call(H), Call(I);
    Call(J), Call(K), Call(L), Call(M), Call(O), Call(P), Call(Q), Call(R);
    Call(S), Call(T0), Call(U);
  } else if constexpr (N == 20) {
    auto &[A, B, C, D, E, G, H, I, J, K, L, M, O, P, Q, R, S, T0, U, V] = Value;
    Call(A), Call(B), Call(C), Call(D), Call(E), Call(G), Call(H), Call(I);
    Call(J), Call(K), Call(L), Call(M), Call(O), Call(P), Call(Q), Call(R);
    Call(S), Call(T0), Call(U), Call(V);
  }
}

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_FIELDS_H
