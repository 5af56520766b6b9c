# What the project's people run; .ci/run calls `make check` and nothing else.
.PHONY: build run check fmt lint test doc

build:
	cargo build --release --locked

run: build
	target/release/onyxstile serve

fmt:
	cargo fmt

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings

test:
	cargo test --locked

doc:
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --no-deps --quiet

check: lint test doc build
