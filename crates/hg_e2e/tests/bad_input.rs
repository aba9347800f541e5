//! Invalid jobs and lists are refused, faults of lists with their place, and nothing is changed.

use hg_e2e::{Deployment, job, sample_lists};
use hyper::Method;
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused() -> eyre::Result<()> {
    let deployment = Deployment::start(1).await?;
    let api = deployment.api(0);

    let broken = api.send(Method::POST, "/v1/jobs", "{\"id\": ".to_owned()).await?;
    assert_eq!((broken.status, &broken.body["code"]), (400, &json!("bad_request")));

    let good = job("bad", true, 0, 0);
    let mut cases = Vec::new();
    for (field, value) in [
        ("id", json!("a b")),
        ("id", json!("")),
        ("colour", json!(1)),
        ("deadline_ms", json!(0)),
        ("deadline_ms", json!(-1)),
        ("deadline_ms", json!(u64::MAX)),
        ("shape", json!({ "tasks": 0, "per_task": { "processors": 1 } })),
        ("shape", json!({ "tasks": 129, "per_task": { "processors": 1 } })),
        ("shape", json!({ "tasks": 1, "per_task": {} })),
        ("shape", json!({ "tasks": 1, "per_task": { "processors": -1 } })),
        ("shape", json!({ "tasks": 1, "per_task": { "processors": 4_294_967_296_u64 } })),
        ("idempotent", json!("yes")),
    ] {
        let mut bad = good.clone();
        bad[field] = value;
        cases.push(bad);
    }
    for bad in cases {
        let reply = api.submit(&bad).await?;
        assert_eq!(
            (reply.status, &reply.body["code"]),
            (400, &json!("bad_request")),
            "{bad}: {reply:?}"
        );
        assert!(reply.body["message"].as_str().is_some_and(|text| !text.is_empty()));
    }

    let mut large = good.clone();
    large["body"] = json!("x".repeat(5 << 20));
    let reply = api.submit(&large).await?;
    assert_eq!((reply.status, &reply.body["code"]), (413, &json!("too_large")));

    let mut unknown_account = good.clone();
    unknown_account["account"] = json!("nobody");
    let reply = api.submit(&unknown_account).await?;
    assert_eq!((reply.status, &reply.body["kind"]), (422, &json!("not_run")), "{reply:?}");

    let mut huge = good.clone();
    huge["shape"] = json!({ "tasks": 1, "per_task": { "accelerators": 9 } });
    let reply = api.submit(&huge).await?;
    assert_eq!((reply.status, &reply.body["kind"]), (422, &json!("not_run")), "{reply:?}");
    assert_eq!(deployment.witness().starts("bad"), 0, "none of the refused jobs was started");

    // A resent job gets the answer of the first one; its id cannot be used for a different job.
    let first = api.submit(&job("same", true, 0, 30_000)).await?;
    assert_eq!(first.body["kind"], "answered", "{first:?}");
    let other = deployment.api(1).submit(&job("same", false, 0, 30_000)).await?;
    assert_eq!((other.status, &other.body["code"]), (409, &json!("id_taken")), "{other:?}");
    let again = deployment.api(1).submit(&job("same", true, 0, 30_000)).await?;
    assert_eq!(again.body["body"], first.body["body"]);
    assert_eq!(deployment.witness().starts("same"), 1);

    let unknown_path = api.get("/v1/nothing").await?;
    assert_eq!((unknown_path.status, &unknown_path.body["code"]), (404, &json!("not_found")));
    let unknown_job = api.get("/v1/jobs/none").await?;
    assert_eq!(unknown_job.status, 404);
    Ok(())
}

/// A caller that sends too large a body is still sending when that is noticed. It must get the response all the same,
/// not a reset connection.
#[tokio::test(flavor = "multi_thread")]
async fn too_large_body_is_answered_while_it_is_sent() -> eyre::Result<()> {
    let deployment = Deployment::start(1).await?;
    let mut large = job("large", true, 0, 0);
    large["body"] = json!("x".repeat(9 << 20));
    for _ in 0..20 {
        let reply = deployment.api(0).submit(&large).await?;
        assert_eq!((reply.status, &reply.body["code"]), (413, &json!("too_large")));
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_lists_change_nothing() -> eyre::Result<()> {
    let deployment = Deployment::start(1).await?;
    let api = deployment.api(0);
    let mut duplicate_account = sample_lists(1);
    duplicate_account["account"] =
        json!([{ "name": "a", "plan": "roster" }, { "name": "a", "plan": "roster" }]);
    let mut unknown_plan = sample_lists(1);
    unknown_plan["account"] = json!([{ "name": "a", "plan": "none" }]);
    for (lists, place) in [
        (duplicate_account, "account \"a\""),
        (unknown_plan, "account \"a\""),
        // Nine accelerators are guaranteed, but the pool has eight.
        (sample_lists(9), "account \"lindqvist\" guarantee 1"),
    ] {
        let reply = api.put_lists("bad", 1, &lists).await?;
        assert_eq!((reply.status, &reply.body["code"]), (422, &json!("list_faults")), "{reply:?}");
        let faults = reply.body["faults"].to_string();
        assert!(faults.contains(&json!(place).to_string()), "{faults} names {place}");
    }
    let unknown_field = json!({ "plan": [], "account": [], "extra": 1 });
    assert_eq!(api.put_lists("bad", 1, &unknown_field).await?.status, 400);
    assert_eq!(api.get("/v1/lists").await?.body["version"], 1, "the lists are unchanged");
    Ok(())
}
