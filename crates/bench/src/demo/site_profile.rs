//! Zones and load of the sites that the demo can start.

use {
    crate::{
        demo::SiteName,
        site::{SitePlan, SitePlanBuilder},
    },
    std::{
        net::{IpAddr, Ipv4Addr},
        time::Duration,
    },
};

/// Loopback address of the demo's site; fixed, so that documented examples work.
const DEMO_IP: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 77, 1));

/// A kind of task and the contract that submits it.
#[derive(Clone, Copy, Debug)]
pub struct KindProfile {
    /// Name of the kind.
    pub kind: &'static str,
    /// Contract that submits tasks of the kind.
    pub contract: &'static str,
    /// Urgency of the contract.
    pub urgency: u8,
    /// Shortest run time.
    pub shortest: Duration,
    /// Longest run time.
    pub longest: Duration,
    /// Most tasks of one job.
    pub most_tasks: u16,
    /// Whether a task may safely run more than once.
    pub idempotent: bool,
    /// Share of the kind in the total run time of all tasks, in percent.
    pub percent_of_work: u32,
}

/// Zones of a site and the load that its callers send.
#[derive(Clone, Debug)]
pub struct SiteProfile {
    /// Name that the demo prints.
    pub title: &'static str,
    /// Names of the availability zones.
    pub zones: &'static [&'static str],
    /// Kinds of tasks that the callers send.
    pub kinds: &'static [KindProfile],
}

const COOPERATIVE: SiteProfile = SiteProfile {
    title: "Cooperative: letter desk",
    zones: &["namdaemun", "gwangjang", "mangwon"],
    kinds: &[
        KindProfile {
            kind: "honorific",
            contract: "counters",
            urgency: 5,
            shortest: Duration::from_millis(50),
            longest: Duration::from_millis(120),
            most_tasks: 2,
            idempotent: true,
            percent_of_work: 30,
        },
        KindProfile {
            kind: "letter",
            contract: "letters",
            urgency: 1,
            shortest: Duration::from_millis(400),
            longest: Duration::from_secs(3),
            most_tasks: 4,
            idempotent: true,
            percent_of_work: 50,
        },
        KindProfile {
            kind: "stamp",
            contract: "stamps",
            urgency: 3,
            shortest: Duration::from_millis(80),
            longest: Duration::from_millis(250),
            most_tasks: 6,
            idempotent: false,
            percent_of_work: 20,
        },
    ],
};

const ALLIANCE: SiteProfile = SiteProfile {
    title: "Alliance: splint desk",
    zones: &["tanta", "mansoura", "zagazig", "banha"],
    kinds: &[
        KindProfile {
            kind: "sleeve-fit",
            contract: "riggers",
            urgency: 5,
            shortest: Duration::from_millis(50),
            longest: Duration::from_millis(150),
            most_tasks: 3,
            idempotent: true,
            percent_of_work: 40,
        },
        KindProfile {
            kind: "load-rating",
            contract: "ratings",
            urgency: 5,
            shortest: Duration::from_millis(300),
            longest: Duration::from_secs(2),
            most_tasks: 4,
            idempotent: true,
            percent_of_work: 40,
        },
        KindProfile {
            kind: "sleeve-cut",
            contract: "cuts",
            urgency: 5,
            shortest: Duration::from_millis(100),
            longest: Duration::from_millis(300),
            most_tasks: 4,
            idempotent: false,
            percent_of_work: 20,
        },
    ],
};

impl SiteProfile {
    /// Returns the profile of a site.
    #[must_use]
    pub fn for_site(site: SiteName) -> Self {
        match site {
            SiteName::Cooperative => COOPERATIVE,
            SiteName::Alliance => ALLIANCE,
        }
    }

    /// Returns a builder for the site at its default size, on the fixed address.
    #[must_use]
    pub fn plan(&self) -> SitePlanBuilder {
        SitePlan::builder()
            .ip(DEMO_IP)
            .zones(self.zones.iter().copied())
    }
}
