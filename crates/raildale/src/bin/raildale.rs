//! The operators' command.

fn main() -> std::process::ExitCode {
    let args = raildale::cli::operator::operator_args().run();
    raildale::cli::operator::run(&args)
}
