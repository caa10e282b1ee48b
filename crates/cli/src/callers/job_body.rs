//! Builds the body of a submission.

use {
    crate::{CliError, arguments::JobSource},
    serde_json::{Value, json},
    std::{
        fs,
        io::{self, Read},
        path::Path,
    },
};

/// Path that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Returns the body of a submission: the content of a file, or JSON with `count`
/// identical tasks.
pub(crate) fn job_body(source: JobSource) -> Result<Vec<u8>, CliError> {
    match source {
        JobSource::File { file } => read_file(&file),
        JobSource::Tasks {
            kind,
            run_time,
            input,
            count,
            idempotent,
        } => {
            let task = json!({
                "kind": kind,
                "declared_run_time": run_time.to_string(),
                "input": input,
                "idempotent": idempotent,
            });
            let tasks: Vec<Value> = vec![task; count];
            Ok(json!({ "tasks": tasks }).to_string().into_bytes())
        }
    }
}

fn read_file(path: &Path) -> Result<Vec<u8>, CliError> {
    let mut buf = Vec::new();
    let read = if path.as_os_str() == STANDARD_INPUT {
        io::stdin().read_to_end(&mut buf).map(|_| buf)
    } else {
        fs::read(path)
    };
    read.map_err(|source| CliError::File {
        path: path.to_owned(),
        source,
    })
}
