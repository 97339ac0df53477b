//! The rehearsal kit's command line.

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use linnetknot_rehearse::load::{plan, Plan};
use linnetknot_rehearse::moments;
use linnetknot_rehearse::player::{self, Outcome, Watch};
use linnetknot_rehearse::report::{compare, Report};
use linnetknot_rehearse::scale;
use linnetknot_rehearse::scenario::{schema, Scenario};
use linnetknot_rehearse::series::{all_at_once, Seeds, Summary, Verdict};
use linnetknot_rehearse::shipped;
use signal_hook::consts::SIGINT;
use std::collections::BTreeSet;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, LazyLock};

/// Rehearses against a linnetknot daemon on loopback. Without a command it plays `run`.
///
/// Exits with 0 where no rule was broken, 1 where one was, 2 where nothing could be played.
#[derive(Parser)]
#[command(name = "linnetknot-rehearse", version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Plays scenarios in turn: shipped ones by name (`all` for every one, see `list`) or files. Without any, it
    /// plays a purge by CDNI, a drain under redirected requests and a planned end, some five seconds.
    Run {
        /// Names of shipped scenarios, `all`, or files.
        scenarios: Vec<String>,
        /// The same seed gives the same plan and timetable.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Plays each scenario with all of these seeds (`1..20`), several plays side by side, and prints one table
        /// of the broken rules by seed. The exit status is the worst.
        #[arg(long, conflicts_with_all = ["seed", "json"])]
        seeds: Option<Seeds>,
        /// Plays at a time with `--seeds`; a play needs some tenth of a core.
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64), requires = "seeds")]
        jobs: u16,
        /// The daemon; by default the one that stands beside this program.
        #[arg(long)]
        daemon: Option<PathBuf>,
        /// Writes each result to this file too, for `compare`; with several scenarios the name of each is put
        /// before the file's extension.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Plays each scenario in this share of its time: shape and faults closer together, rates as they are.
        #[arg(long, default_value_t = 1.0)]
        time_scale: f64,
    },
    /// Plays faults by moments of a promise: three proxies that keep each other's promises, one of which dies, stands
    /// still or is cut off, and comes back with its disk or without. Prints a table by moment and disk.
    Moments {
        /// Plays, through all moments and both disks in turn.
        #[arg(long, default_value_t = 28)]
        plays: u32,
        /// The first seed; each play has the next.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Plays at a time.
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
        jobs: u16,
        /// The daemon, built with `--features points`; by default the one that stands beside this program.
        #[arg(long)]
        daemon: Option<PathBuf>,
        /// Plants a fault in all daemons, which the rules must find: `credit`, `skip` or `no-fence`.
        #[arg(long)]
        plant: Option<String>,
    },
    /// Runs a whole fleet of hollow proxies, thousands in one process, on virtual time, and prints what each role spends
    /// beside its limit. Exits with 1 where something is wrong, with 2 where it can't be run.
    Scale(scale::command::Arguments),
    /// Runs real daemons beside hollow proxies that speak to them by sockets, and prints what each daemon spends on
    /// control beside its limit. Exits with 1 where something is wrong, with 2 where it can't be run.
    ScaleDaemons(scale::daemons::command::Arguments),
    /// Lists the shipped scenarios.
    List,
    /// Plays a scenario: proxies, boxes that behave, hub caches, an origin and the planned load, on this machine.
    Play {
        /// The scenario.
        file: PathBuf,
        /// The same seed gives the same plan.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The daemon; by default the one that stands beside this program.
        #[arg(long)]
        daemon: Option<PathBuf>,
        /// Writes the result to this file too, for `compare`.
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// Puts the results of two rehearsals of one scenario side by side. Exits with 1 where the second broke a rule, with
    /// 2 where they can't be compared.
    Compare {
        /// The first.
        a: PathBuf,
        /// The second.
        b: PathBuf,
    },
    /// Checks scenario files: a message names the key at fault.
    Check {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Shows what a scenario asks for, second by second, without playing it.
    Plan {
        /// The scenario.
        file: PathBuf,
        /// The same seed gives the same plan.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Prints the JSON Schema of scenario files.
    Schema,
}

/// The daemon that is named, or the one beside this program.
fn beside(daemon: Option<PathBuf>) -> PathBuf {
    let own = || {
        std::env::current_exe()
            .map(|own| own.with_file_name("linnetknot"))
            .unwrap_or_default()
    };
    daemon.unwrap_or_else(own)
}

/// A scenario by its name or file, in a share of its time.
fn scenario(name: &str, scale: f64) -> Result<Scenario, String> {
    let scenario = shipped::named(name).unwrap_or_else(|| read(Path::new(name)));
    scenario.and_then(|s| if scale == 1.0 { Ok(s) } else { s.scaled(scale) })
}

/// Plays the chosen scenarios with all of these seeds; the exit status is the worst of theirs.
fn run_series(
    asked: &[String],
    seeds: &Seeds,
    jobs: usize,
    scale: f64,
    daemon: Option<PathBuf>,
) -> ExitCode {
    let daemon = beside(daemon);
    let chosen = shipped::chosen(asked);
    let all: Vec<(usize, u64)> = (0..chosen.len())
        .flat_map(|n| seeds.0.clone().map(move |seed| (n, seed)))
        .collect();
    let verdicts = all_at_once(&all, jobs, |(n, seed)| {
        if STOP.load(Ordering::Relaxed) {
            return Verdict::Nothing("not played: ended by hand".into());
        }
        let watch = Watch {
            stop: Some(&**STOP),
            progress: None,
        };
        let played = scenario(&chosen[*n], scale).and_then(|s| {
            let told = |e| format!("could not be played with {}: {e}", daemon.display());
            player::play_watched(&daemon, &s, *seed, None, watch).map_err(told)
        });
        let shown = played.as_ref().map_or(&[][..], |o| &o.breaches);
        shown
            .iter()
            .take(5)
            .for_each(|b| eprintln!("{} seed {seed}: BREACH {b}", chosen[*n]));
        Verdict::of(played)
    });
    let mut summary = Summary(
        chosen
            .into_iter()
            .map(|name| (name, Default::default()))
            .collect(),
    );
    for ((n, seed), verdict) in all.into_iter().zip(verdicts) {
        summary.0[n].1.insert(seed, verdict);
    }
    say(&summary.to_string());
    ExitCode::from(summary.status())
}

/// Plays the chosen scenarios in turn; the exit status is the worst of theirs.
fn run_all(
    asked: &[String],
    (seed, scale): (u64, f64),
    daemon: Option<PathBuf>,
    json: Option<PathBuf>,
) -> ExitCode {
    let chosen = shipped::chosen(asked);
    let several = chosen.len() > 1;
    let mut worst = 0;
    for name in &chosen {
        if STOP.load(Ordering::Relaxed) {
            eprintln!("ended by hand: {name} and those after it are not played");
            return ExitCode::from(worst.max(2));
        }
        let scenario = scenario(name, scale);
        let to = json.as_ref().filter(|_| several).map(|to| {
            let stem = to.file_stem().unwrap_or_default().to_string_lossy();
            let extension = to
                .extension()
                .map(|e| format!(".{}", e.to_string_lossy()))
                .unwrap_or_default();
            to.with_file_name(format!(
                "{stem}-{}{extension}",
                Path::new(name)
                    .file_stem()
                    .unwrap_or_default()
                    .to_string_lossy()
            ))
        });
        worst = worst.max(play(
            scenario,
            seed,
            daemon.clone(),
            to.or_else(|| json.clone()),
        ));
    }
    ExitCode::from(worst)
}

fn play(
    scenario: Result<Scenario, String>,
    seed: u64,
    daemon: Option<PathBuf>,
    json: Option<PathBuf>,
) -> u8 {
    let daemon = beside(daemon);
    let played = scenario.and_then(|scenario| {
        // A bar on a terminal only; indicatif draws nothing into a pipe.
        let bar = ProgressBar::new(scenario.seconds.ceil() as u64);
        bar.set_style(
            ProgressStyle::with_template("{msg:<16} [{bar:40}] {pos}/{len} s, {prefix} requests")
                .map_err(|e| e.to_string())?
                .progress_chars("=> "),
        );
        bar.set_message(scenario.name.clone());
        let progress = |seconds: f64, asked: usize| {
            bar.set_position(seconds.max(0.0) as u64);
            bar.set_prefix(asked.to_string());
        };
        let watch = Watch {
            stop: Some(&**STOP),
            progress: Some(&progress),
        };
        let outcome = player::play_watched(&daemon, &scenario, seed, None, watch);
        bar.finish_and_clear();
        Ok((
            outcome.map_err(|e| format!("could not be played with {}: {e}", daemon.display()))?,
            scenario,
        ))
    });
    match played {
        Err(e) => {
            eprintln!("{e}");
            2
        }
        Ok((outcome, scenario)) => {
            say(&result(&scenario, &outcome));
            let keep = |to: &PathBuf| {
                let text = Report::of(&scenario, seed, &outcome).write()?;
                std::fs::write(to, text).map_err(|e| format!("{}: {e}", to.display()))
            };
            if let Some(Err(e)) = json.as_ref().map(keep) {
                eprintln!("the result can't be written: {e}");
                return 2;
            }
            // What was broken before an end by hand stands; what was not seen, nobody knows.
            let verdict = Verdict::of(Ok(outcome));
            if let Verdict::Nothing(why) = &verdict {
                eprintln!("the rehearsal proves nothing: {why}");
            }
            verdict.status()
        }
    }
}

/// What a rehearsal came to, as tables.
fn result(scenario: &Scenario, o: &Outcome) -> String {
    let share = |s: f64, of: f64| format!("{:.1}%", 100.0 * s / of.max(1e-9));
    let mut out = format!(
        "{}: {} requests sent, {} taken by no proxy, {:.1} ms late at most (p99 {:.1}); {} writes ran, {} of them again\n\n",
        scenario.name,
        o.asked,
        o.unsent,
        o.lag_us.1 as f64 / 1e3,
        o.lag_us.0 as f64 / 1e3,
        o.writes.0,
        o.writes.1
    );
    out += "| | worth asked | in time | late | refused | failed | unanswered |\n";
    out += "| --- | --- | --- | --- | --- | --- | --- |\n";
    let names = scenario.load.classes.iter().map(|c| c.name.as_str());
    let rows = std::iter::once(("all", &o.score.whole)).chain(names.zip(&o.score.classes));
    for (name, s) in rows {
        let [a, b, c, d, e] =
            [s.earned, s.late, s.refused, s.failed, s.unanswered].map(|x| share(x, s.asked));
        out += &format!(
            "| {name} | {:.0} | {a} | {b} | {c} | {d} | {e} |\n",
            s.asked
        );
    }
    out += "\n| ms, from when it was due | served | p50 | p90 | p99 | p99.9 | most |\n";
    out += "| --- | --- | --- | --- | --- | --- | --- |\n";
    for (class, w) in scenario.load.classes.iter().zip(&o.waits) {
        let [a, b, c, d, e] =
            [w.p50, w.p90, w.p99, w.p999, w.most].map(|us| format!("{:.1}", us as f64 / 1e3));
        out += &format!(
            "| {} | {} of {} | {a} | {b} | {c} | {d} | {e} |\n",
            class.name, w.served, w.asked
        );
    }
    if let Some((second, score)) = o.score.worst {
        out += &format!("\nworst ten seconds: from second {second}, {score:.3}\n");
    }
    for b in o.breaches.iter().take(50) {
        out += &format!("BREACH {b}\n");
    }
    out + &format!("{} breaches\n", o.breaches.len())
}

fn run(daemon: Option<PathBuf>) -> ExitCode {
    let daemon = beside(daemon);
    match linnetknot_rehearse::rehearse(&daemon, None) {
        Err(e) => {
            eprintln!(
                "the rehearsal could not be played with {}: {e}",
                daemon.display()
            );
            ExitCode::from(2)
        }
        Ok(report) => {
            print!("{report}");
            ExitCode::from(u8::from(!report.breaches.is_empty()))
        }
    }
}

fn side_by_side(a: &Path, b: &Path) -> ExitCode {
    let report = |path: &Path| {
        let text = std::fs::read_to_string(path).map_err(|e| e.to_string());
        text.and_then(|text| Report::read(&text))
            .map_err(|e| format!("{}: {e}", path.display()))
    };
    match report(a).and_then(|a| report(b).and_then(|b| Ok((compare(&a, &b)?, b)))) {
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(2)
        }
        Ok((text, b)) => {
            say(&text);
            ExitCode::from(u8::from(!b.breaches.is_empty()))
        }
    }
}

/// Plays faults by moments; the exit status is that of the matrix.
fn run_moments(
    cases: &[moments::Case],
    jobs: usize,
    daemon: &Path,
    plant: Option<&str>,
) -> ExitCode {
    let planted = match plant.map(|name| moments::PLANTS.iter().find(|(n, ..)| *n == name)) {
        None => "",
        Some(Some((_, points, _))) => points,
        Some(None) => {
            eprintln!("there is no fault '{}' to plant", plant.unwrap_or_default());
            return ExitCode::from(2);
        }
    };
    let plays = all_at_once(cases, jobs, |case| match STOP.load(Ordering::Relaxed) {
        true => Err(std::io::Error::other("not played: ended by hand")),
        false => moments::play(daemon, *case, planted),
    });
    let mut matrix = moments::Matrix::default();
    cases
        .iter()
        .zip(plays)
        .for_each(|(case, played)| matrix.add(*case, played));
    say(&format!("{matrix}"));
    matrix
        .said
        .iter()
        .for_each(|said| say(&format!("{said}\n")));
    ExitCode::from(matrix.status())
}

fn read(path: &Path) -> Result<Scenario, String> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
    Scenario::read(&text).map_err(|e| format!("{shown}: {e}"))
}

/// The plan as tables.
fn tables(scenario: &Scenario, plan: &Plan) -> String {
    let (name, seconds) = (&scenario.name, scenario.seconds);
    let mut out = format!(
        "{name}: {} requests and {} purges in {seconds} s\n",
        plan.arrivals.len(),
        plan.purges.len()
    );
    out += "\n| class | requests | objects | MB |\n| --- | --- | --- | --- |\n";
    for (n, class) in scenario.load.classes.iter().enumerate() {
        let of: Vec<_> = plan.arrivals.iter().filter(|a| a.class == n).collect();
        let objects: BTreeSet<u64> = of.iter().map(|a| a.object).collect();
        let mb = of.iter().map(|a| a.size_kb).sum::<f64>() / 1e3;
        out += &format!(
            "| {} | {} | {} | {mb:.0} |\n",
            class.name,
            of.len(),
            objects.len()
        );
    }
    out += "\n| second | requests | purges |\n| --- | --- | --- |\n";
    let mut rows = vec![(0, 0); seconds.ceil() as usize];
    let last = rows.len() - 1;
    let row = |at: u64| ((at / 1_000_000) as usize).min(last);
    plan.arrivals.iter().for_each(|a| rows[row(a.at)].0 += 1);
    plan.purges.iter().for_each(|p| rows[row(p.at)].1 += 1);
    for (second, (requests, purges)) in rows.into_iter().enumerate() {
        out += &format!("| {second} | {requests} | {purges} |\n");
    }
    out
}

/// Lists the shipped scenarios.
fn list() -> ExitCode {
    for (name, text) in shipped::SHIPPED {
        let about = Scenario::read(text).map_or_else(|e| format!("unsound: {e}"), |s| s.about);
        println!("{name:<16} {about}");
    }
    ExitCode::SUCCESS
}

/// Checks scenario files.
fn check(files: &[PathBuf]) -> ExitCode {
    let mut sound = true;
    for file in files {
        match read(file) {
            Ok(scenario) => println!("{}: sound: {}", file.display(), scenario.about),
            Err(e) => {
                sound = false;
                eprintln!("{e}");
            }
        }
    }
    ExitCode::from(if sound { 0 } else { 2 })
}

/// Shows what a scenario asks for.
fn show_plan(file: &Path, seed: u64) -> ExitCode {
    match read(file) {
        Ok(scenario) => {
            say(&tables(&scenario, &plan(&scenario, seed)));
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}

/// Prints; whoever reads may have had enough, which is no failure.
fn say(text: &str) {
    let _ = std::io::stdout().lock().write_all(text.as_bytes());
}

/// Set at Ctrl-C: the play that runs ends, its report is still written, and no other is begun.
static STOP: LazyLock<Arc<AtomicBool>> = LazyLock::new(Arc::default);

fn main() -> ExitCode {
    // Ctrl-C only sets the flag: the kit must live on to end the daemons, which are in a group of their own and
    // hear nothing of it.
    let heard = signal_hook::flag::register(SIGINT, STOP.clone());
    if let Err(e) = heard {
        eprintln!("Ctrl-C can't be heard: {e}");
    }
    match Arguments::parse().command {
        None => run(None),
        Some(Command::Run {
            scenarios,
            daemon,
            seeds: None,
            ..
        }) if scenarios.is_empty() => run(daemon),
        Some(Command::Run {
            scenarios,
            seeds: Some(seeds),
            jobs,
            daemon,
            time_scale,
            ..
        }) => {
            let all = ["all".to_owned()];
            let asked = if scenarios.is_empty() {
                &all[..]
            } else {
                &scenarios
            };
            run_series(asked, &seeds, jobs.into(), time_scale, daemon)
        }
        Some(Command::Run {
            scenarios,
            seed,
            daemon,
            json,
            time_scale,
            ..
        }) => run_all(&scenarios, (seed, time_scale), daemon, json),
        Some(Command::Moments {
            plays,
            seed,
            jobs,
            daemon,
            plant,
        }) => run_moments(
            &moments::cases(plays as usize, seed),
            jobs.into(),
            &beside(daemon),
            plant.as_deref(),
        ),
        Some(Command::Scale(arguments)) => scale::command::run(&arguments),
        Some(Command::ScaleDaemons(arguments)) => scale::daemons::command::run(&arguments),
        Some(Command::List) => list(),
        Some(Command::Play {
            file,
            seed,
            daemon,
            json,
        }) => ExitCode::from(play(read(&file), seed, daemon, json)),
        Some(Command::Compare { a, b }) => side_by_side(&a, &b),
        Some(Command::Check { files }) => check(&files),
        Some(Command::Plan { file, seed }) => show_plan(&file, seed),
        Some(Command::Schema) => {
            say(&schema());
            ExitCode::SUCCESS
        }
    }
}
