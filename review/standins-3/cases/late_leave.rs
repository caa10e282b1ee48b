//! A DELETE of an executor's earlier life, held up by a partition, arrives when it runs
//! again under the same id.

use super::{judge_twice, ms};
use crate::{
    Verdict,
    executor::{Conf, Executor},
    proxy::Proxy,
    record::Record,
    site::{Site, job},
};
use std::{
    io::Result,
    thread::{self, sleep},
};

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict> {
    let site = Site::start(record)?;
    site.configure(1);
    // Machine 11 has the executor that leaves. What it and its agent send each other passes
    // two proxies, which a partition cuts together.
    let links = [
        Proxy::start(site.at(31, 8166), site.at(11, 8166))?,
        Proxy::start(site.at(11, 8165), site.at(31, 8165))?,
    ];
    let _entry = site.entry(1, &[1])?;
    let _agents = [site.agent(11, &[1])?, site.agent(12, &[1])?];
    sleep(ms(300));
    let conf = Conf {
        control: site.at(31, 8166),
        listen: site.at(31, 8165),
        ..site.executor_conf(11)
    };
    let first = Executor::start(conf.clone(), record)?;
    if !site.until_ready(1, 1, ms(8_000)) {
        return Ok(Verdict::CouldNotRun);
    }
    // The executor leaves as planned: drain_ms after the acknowledgement and a little longer.
    if !first.drain() {
        return Ok(Verdict::CouldNotRun);
    }
    sleep(ms(2_500));
    if has_trouble {
        record.say("the executor of machine 11 is cut off");
        links.iter().for_each(Proxy::cut);
    }
    let leaving = first.say_leaving();
    sleep(ms(2_100));
    first.end("left");
    sleep(ms(500));
    // It starts again under its id.
    let _second = Executor::start(conf, record)?;
    sleep(ms(700));
    if has_trouble {
        // The cut lasted 3.3 s. TCP sends the DELETE again 0.2, 0.6, 1.4, 3.0 and 6.2 s after
        // its first try.
        record.say("the cut is over");
        links.iter().for_each(|link| link.heal(ms(2_900)));
    }
    let _other = site.executor(12)?;
    if !site.until_ready(1, 2, ms(2_500)) {
        return Ok(Verdict::CouldNotRun);
    }
    // Jobs that are at work when the late DELETE arrives.
    thread::scope(|scope| {
        for number in 0..4 {
            let site = &site;
            scope.spawn(move || {
                let id = format!("00000000000000a{number}");
                let _ = site.post(1, &id, &job("ms=4500", 4, 3_000, 4_500), ms(18_000));
            });
        }
    });
    let _ = leaving.join();
    Ok(judge_twice(record))
}
