//! Applies a delta with one changed service, once damaged and once intact, and measures the time.
//!
//!     cargo run --release -p bundle --example transfer -- 470

use std::time::Instant;

use bundle::{Bundle, Delta, Service, Source};
use types::{Timestamp, Version};

type Error = Box<dyn std::error::Error>;

fn main() -> Result<(), Error> {
    let count = std::env::args()
        .nth(1)
        .map_or(Ok(470), |text| text.parse())?;
    let mut services = (0..count)
        .map(|index| create_service(index, 8))
        .collect::<Result<Vec<_>, _>>()?;
    let held = Bundle::new(Version::new(1), Timestamp::new(1), services.clone())?;
    services[0] = create_service(0, 9)?;
    let new = Bundle::new(Version::new(2), Timestamp::new(2), services)?;

    let delta = Delta::between(&held, &new);
    println!("{count} services, {} in the delta", delta.changed.len());

    let mut damaged = delta.clone();
    damaged.changed.clear();
    match held.apply(&damaged) {
        Ok(_) => println!("a delta without its services was accepted"),
        Err(error) => println!("a delta without its services: {error}"),
    }

    let start = Instant::now();
    let applied = held.apply(&delta)?;
    println!(
        "applied and validated version {} in {:?}",
        applied.version,
        start.elapsed()
    );
    println!(
        "applying it again: {:?}",
        applied.apply(&delta).err().map(|error| error.to_string())
    );
    Ok(())
}

fn create_service(index: u32, slots: u32) -> Result<Service, Error> {
    let text = format!(
        "[service]\nname = s{index}\nowner = o\nslots = {slots}\n\
         [route read]\npath = /s{index}\nmethods = GET\nrepeatable = yes\n\
         [route write]\npath = /s{index}\nmethods = POST\n"
    );
    let file = format!("s{index}.ini");
    let (source, findings) = Source::parse(&file, &file, &text);
    findings.or(())?;
    Ok(source.ok_or("file without a service")?.service)
}
