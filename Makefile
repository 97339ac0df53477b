# What a newcomer needs: build, test, lint, run.
.PHONY: build test lint fmt run toy rehearse ci

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
	cargo clippy --workspace --lib --bins --locked -- -D warnings -D clippy::too_many_lines

fmt:
	cargo fmt --all

# The daemon with the configuration of examples/; start the boxes first, in another window: make toy
run: build
	ROUTER_CONFIG=examples/config.json LINNETKNOT_INTERCONNECT=examples/interconnect.json target/release/linnetknot

toy:
	cargo run --locked -p linnetknot-rehearse --example toy

rehearse: build
	target/release/linnetknot-rehearse

ci:
	bash .ci/run
